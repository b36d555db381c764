# No fault; one burst of 50 % more new clients.
title = "calm-mass"
base  = "mass"

trouble "crowd" {
  at    = ["6s", "14s"]
  lasts = "5s"
  size  = 0.5
}
