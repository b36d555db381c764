# The discovery list is 5 s later than usual.
title = "stale-roster"
base  = "padova"

trouble "stale_roster" {
  at    = ["8s", "14s"]
  lasts = ["11s", "24s"]
  size  = 5 # seconds
}
