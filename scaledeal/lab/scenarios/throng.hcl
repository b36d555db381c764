# Few servers, many relays: a release, then a burst and the crash of warm servers while many others are still cold.
title   = "throng"
base    = "padova"
seconds = "20s"

servers {
  count = 8
}
relays {
  count = 32
}
clients {
  rejoin    = ["5ms", "100ms"]
  impatient = 0.05
  bad       = 5
}
trouble "deploy" {
  at     = ["3s", "6s"]
  lasts  = ["1s", "3s"]
  part   = [0.2, 0.5]
  size   = 0.25
  period = ["0.2s", "1s"]
}
trouble "crowd" {
  at    = ["7s", "10s"]
  lasts = ["2s", "5s"]
  size  = 4
}
trouble "crash" {
  at    = ["8s", "12s"]
  lasts = ["0.4s", "1.5s"]
  part  = [0.3, 0.6]
}
trouble "crash" {
  at    = ["11s", "14s"]
  lasts = ["0.4s", "1.5s"]
  part  = [0.2, 0.4]
}
