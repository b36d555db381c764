# All incidents of the second deployment in one busy evening: slow machines, neighbours, late reports, a burst.
title = "lagos-saturday"
base  = "lagos"

clients {
  load = 0.45
}
trouble "slow" {
  at    = ["6s", "12s"]
  lasts = ["11s", "33s"]
  part  = [0.064, 0.19]
  size  = 7 # slowdown factor
}
trouble "neighbour" {
  at     = ["8s", "18s"]
  lasts  = ["16s", "30s"]
  part   = [0.11, 0.47]
  size   = 0.5 # share of the machine
  period = ["1.2s", "4s"]
}
trouble "report_late" {
  at    = ["6s", "16s"]
  lasts = ["12s", "28s"]
  size  = 3.3 # seconds
}
trouble "crowd" {
  at    = ["10s", "24s"]
  lasts = ["2.2s", "9.8s"]
  size  = 1 # additional arrivals, relative to the usual rate
}
