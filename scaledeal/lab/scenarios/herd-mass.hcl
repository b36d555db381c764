# A release; 70 % of the relays are killed at once, discovery is slow under load, 12 % of the servers return errors.
title = "herd-mass"
base  = "mass"

discovery {
  call = "8ms"
}
trouble "relay_kill" {
  at   = ["6s", "10s"]
  part = 0.7
}
trouble "deploy" {
  at     = "5s"
  lasts  = "8s"
  part   = 0.3
  size   = 0.1
  period = ["0.2s", "1s"]
}
trouble "errors" {
  at    = "3s"
  lasts = "15s"
  part  = 0.12
  size  = 0.5
}
