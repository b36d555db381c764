# Traffic falls, and the fleet with it.
title = "shrink"
base  = "padova"

trouble "shrink" {
  at    = ["8s", "14s"]
  lasts = ["8.2s", "25s"]
  part  = [0.29, 0.6]
  size  = 0.4 # of the usual rate
}
