# 60 % of the tile servers are replaced within 7 s; some clients send invalid input or give up early.
title = "join-mass"
base  = "mass"

clients {
  impatient = 0.08
  bad       = 20
}
trouble "deploy" {
  at     = ["5s", "7s"]
  lasts  = "7s"
  part   = 0.6
  size   = 0.3
  period = ["0.2s", "1s"]
}
