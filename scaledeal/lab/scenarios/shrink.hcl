# Traffic falls, and the fleet is reduced with it.
title = "shrink"
base  = "padova"

trouble "shrink" {
  at    = ["8s", "14s"]
  lasts = ["8.2s", "25s"]
  part  = [0.29, 0.6]
  size  = 0.4 # share of the usual arrival rate
}
