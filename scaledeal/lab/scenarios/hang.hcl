# Some tile servers accept requests and never answer.
title = "hang"
base  = "padova"

trouble "hang" {
  at    = ["8s", "18s"]
  lasts = ["5.1s", "24s"]
  part  = [0.06, 0.17]
}
