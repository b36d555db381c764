# The throng scenario at full size: 230 relays, three times the servers and clients.
title = "throng-mass"
base  = "throng"

servers {
  count = 24
}
relays {
  count = 230
}
