# The roster falls 5 s further behind.
title = "stale-roster"
base  = "padova"

trouble "stale_roster" {
  at    = ["8s", "14s"]
  lasts = ["11s", "24s"]
  size  = 5 # seconds
}
