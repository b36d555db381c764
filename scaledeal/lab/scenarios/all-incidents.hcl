# All kinds of incident of one quarter in a single day.
title = "all-incidents"
base  = "padova"

trouble "stale_roster" {
  at    = ["8s", "14s"]
  lasts = ["11s", "24s"]
  size  = 5 # seconds
}

trouble "hang" {
  at    = ["8s", "18s"]
  lasts = ["5.1s", "24s"]
  part  = [0.06, 0.17]
}

trouble "pauses" {
  at     = ["5s", "12s"]
  lasts  = ["12s", "34s"]
  part   = [0.14, 0.42]
  size   = 180 # ms
  period = ["0.9s", "2.3s"]
}

trouble "deploy" {
  at     = ["6s", "10s"]
  lasts  = ["20s", "35s"]
  part   = [0.4, 0.95]
  size   = 0.13 # share of the fleet replaced at a time
  period = ["0.2s", "1s"]
}

trouble "shrink" {
  at    = ["8s", "14s"]
  lasts = ["8.2s", "25s"]
  part  = [0.29, 0.6]
  size  = 0.4 # share of the usual arrival rate
}
