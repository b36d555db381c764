# For 6 s a zone is cut off; meanwhile the discovery list is late and connections are reset.
title = "split-mass"
base  = "mass"

trouble "zone_cut" {
  at    = ["6s", "9s"]
  lasts = "6s"
}
trouble "stale_roster" {
  at    = "5s"
  lasts = "12s"
  size  = 3
}
trouble "resets" {
  at     = "6s"
  lasts  = "10s"
  part   = 0.01
  period = "0.5s"
}
