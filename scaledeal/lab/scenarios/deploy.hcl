# A rolling deploy; the replacement servers start cold.
title = "deploy"
base  = "padova"

trouble "deploy" {
  at     = ["6s", "10s"]
  lasts  = ["20s", "35s"]
  part   = [0.4, 0.95]
  size   = 0.13 # share of the fleet replaced at a time
  period = ["0.2s", "1s"]
}
