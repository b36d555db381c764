# No fault; a burst of half as much again.
title = "calm-mass"
base  = "mass"

trouble "crowd" {
  at    = ["6s", "14s"]
  lasts = "5s"
  size  = 0.5
}
