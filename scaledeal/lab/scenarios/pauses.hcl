# Some tile servers stop for 180 ms every few seconds.
title = "pauses"
base  = "padova"

trouble "pauses" {
  at     = ["5s", "12s"]
  lasts  = ["12s", "34s"]
  part   = [0.14, 0.42]
  size   = 180 # ms
  period = ["0.9s", "2.3s"]
}
