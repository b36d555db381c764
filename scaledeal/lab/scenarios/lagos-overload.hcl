# The second deployment at 70 % load, while other programs take part of its machines.
title = "lagos-overload"
base  = "lagos"

clients {
  load = 0.7
}
trouble "neighbour" {
  at     = ["8s", "18s"]
  lasts  = ["16s", "39s"]
  part   = [0.11, 0.47]
  size   = 0.5 # share of the machine
  period = ["1.2s", "4s"]
}
