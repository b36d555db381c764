# A zone is lost for 5 s and returns cold; another is cut off; an eighth of the tile servers pause repeatedly.
title = "zone-mass"
base  = "mass"

trouble "zone_lost" {
  at    = ["5s", "8s"]
  lasts = "5s"
  zone  = 1
}
trouble "zone_cut" {
  at    = ["14s", "16s"]
  lasts = "3s"
  zone  = 2
}
trouble "pauses" {
  at     = "3s"
  lasts  = "20s"
  part   = 0.12
  size   = 250
  period = "0.9s"
}
