# Half of the tile servers are replaced, a tenth of the fleet at a time, while all relays are restarted.
title = "roll-mass"
base  = "mass"

trouble "deploy" {
  at     = "5s"
  lasts  = "12s"
  part   = 0.5
  size   = 0.1
  period = ["0.2s", "1s"]
}
trouble "relay_restart" {
  at    = "5s"
  lasts = "12s"
}
trouble "reload" {
  at = "10s"
}
