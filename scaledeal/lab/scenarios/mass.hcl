# The full-size fleet: 200 relays, 80 tile servers. Base of the other full-size scenarios.
title   = "mass"
base    = "padova"
seconds = "25s"

servers {
  count = 80
}
relays {
  count = 200
}
clients {
  load = 0.42
}
