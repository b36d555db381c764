# The second deployment asked for nearly all it can do, while neighbours take part of it.
title = "lagos-overload"
base  = "lagos"

clients {
  load = 0.7
}
trouble "neighbour" {
  at     = ["8s", "18s"]
  lasts  = ["16s", "39s"]
  part   = [0.11, 0.47]
  size   = 0.5 # of the machine
  period = ["1.2s", "4s"]
}
