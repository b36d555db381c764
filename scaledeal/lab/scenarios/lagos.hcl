# The second deployment today: 9 gallery nodes, 3 relays, two data centres, two classes of very different worth.
title   = "lagos"
seconds = "50s"
zones   = ["ikeja", "idu"]

servers {
  count         = 9
  weights       = "live"
  per_core      = [10, 22]
  setup         = ["2.2ms", "17ms"]
  group_cost    = 3
  group_size    = 40
  group_skew    = 1.0
  goaway        = true
  sheds         = "newest"
  probe         = ["82us", "160us"]
  report_period = ["500ms", "1500ms"]
  report_delay  = ["53ms", "460ms"]
  report_noise  = 0.03

  model "std-5" {
    share     = 0.51
    cores     = 5
    speed     = [0.85, 1.1]
    cap       = 3500
    cold_from = [0.13, 0.25]
    cold      = ["16s", "23s"]
  }
  model "eco-6" {
    share     = 0.49
    cores     = 6
    speed     = [0.51, 0.69]
    cap       = 4500
    cold_from = [0.13, 0.3]
    cold      = ["10s", "24s"]
  }
}

relays {
  count  = 3
  notice = ["1s", "3.2s"]
}

class "guest-browse" {
  share    = 0.58
  aim      = "800ms"
  deadline = "4.8s"
  worth    = 1
  message  = "250ms"
  spread   = 0.45
  swing    = 0.45
  change   = ["4.9s", "16s"]
}
class "couple-picks" {
  share    = 0.42
  aim      = "300ms"
  deadline = "1.8s"
  worth    = 3
  message  = "150ms"
  load     = [4, 8]
  life     = [1, 3]
  spread   = 0.5
  swing    = 0.55
  change   = ["5.6s", "19s"]
}

tenant "owambe-frames" {
  share = 0.78
  quota = 0.62
}
tenant "ikenna-studio" {
  share = 0.22
  quota = 0.18
}

clients {
  load       = 0.4
  life       = ["33s", "54s"]
  shape      = "bursty"
  swing      = 0.25
  zone_skew  = 0.4
  retries    = 1
  backoff    = ["7.6ms", "61ms"]
  rejoin     = ["120ms", "1100ms"]
  honour     = 0.9
  impatient  = 0.04
  over_worth = 0.1
}

discovery {
  mode   = "pushed"
  notice = ["0.86s", "5.5s"]
  silent = ["4.4s", "11s"]
  add    = ["0.26s", "3.1s"]
  period = ["170ms", "1.2s"]
}

store {
  headroom = 8
}

network {
  same   = ["0.083ms", "0.34ms"]
  cross  = ["6ms", "11ms"]
  client = ["0.52ms", "1.2ms"]
  dial   = "100ms"
  idle   = "60s"
}

rules {
  attempts      = 5
  drain_grace   = "250ms"
  fall_multiple = 3
  fall          = "2s"
  retry_after   = "2s"
  report_fields = ["x0", "queue"]
}

goal {
  whole        = 0.4
  worst_window = 0.2
  worst_class  = 0.3
  worst_tenant = 0.1
}

prices {
  move       = 0.02
  cross_zone = 0.0092
  probe      = 0.0016
  waste      = 0.13
  discovery  = 0
}
