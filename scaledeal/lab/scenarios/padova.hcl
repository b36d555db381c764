# The first deployment as it is today: 14 tile servers, 3 relays, three buildings. Base of most other scenarios.
title   = "padova"
seconds = "50s"
zones   = ["palazzo-nord", "sede-centro", "deposito-sud"]

servers {
  count         = 14
  weights       = "rough"
  per_core      = [9.3, 21]
  group_cost    = 3
  group_size    = 40
  group_skew    = 1.0
  goaway        = true
  probe         = ["180us", "360us"]
  report_period = ["540ms", "1400ms"]
  report_delay  = ["100ms", "470ms"]
  report_noise  = 0.03

  model "fast" {
    share     = 0.53
    cores     = 3
    speed     = [1.5, 2.1]
    cap       = 2200
    cold_from = [0.35, 0.58]
    cold      = ["3.2s", "7s"]
  }
  model "slow" {
    share     = 0.47
    cores     = 3
    speed     = [0.77, 1]
    cap       = 2200
    cold_from = [0.3, 0.57]
    cold      = ["3.5s", "8.9s"]
  }
}

relays {
  count  = 3
  notice = ["0.8s", "4s"]
}

class "browse" {
  share    = 0.37
  aim      = "500ms"
  deadline = "3s"
  worth    = 2
  message  = "150ms"
  swing    = 0.6
  spread   = 1.2
}
class "compare" {
  share    = 0.25
  aim      = "300ms"
  deadline = "1200ms"
  worth    = 3
  message  = "250ms"
  load     = [2, 4]
  life     = [0.3, 1]
}
class "overlay" {
  share    = 0.21
  aim      = "300ms"
  deadline = "1200ms"
  worth    = 3
  message  = "50ms"
  load     = [2, 4]
  life     = [1, 3]
}
class "notes" {
  share    = 0.17
  aim      = "300ms"
  deadline = "1800ms"
  worth    = 1
  message  = "100ms"
  load     = [2, 4]
  life     = [1, 3]
}

clients {
  load      = 0.4
  life      = ["21s", "59s"]
  shape     = "bursty"
  swing     = 0.3
  zone_skew = 0.3
  retries   = 2
  backoff   = ["15ms", "120ms"]
  rejoin    = ["91ms", "910ms"]
  honour    = 0.65
  impatient = 0.02
}

discovery {
  notice = ["0.54s", "4.9s"]
  silent = ["4s", "12s"]
  add    = ["0.72s", "2.4s"]
  period = ["190ms", "1.3s"]
}

store {
  headroom = 20
}

network {
  same  = ["0.12ms", "0.3ms"]
  cross = ["2.8ms", "5.2ms"]
}
