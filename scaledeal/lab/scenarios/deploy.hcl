# A rolling deploy; the successors start cold.
title = "deploy"
base  = "padova"

trouble "deploy" {
  at     = ["6s", "10s"]
  lasts  = ["20s", "35s"]
  part   = [0.4, 0.95]
  size   = 0.13 # of the fleet at a time
  period = ["0.2s", "1s"]
}
