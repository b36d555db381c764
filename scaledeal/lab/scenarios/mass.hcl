# The full fleet: 200 relays, 80 tile servers. What the days at size build on.
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
