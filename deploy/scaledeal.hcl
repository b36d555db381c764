# The operators' own file: what the platform's configuration has no word for.
# `scaledeal check deploy/scaledeal.hcl` tells everything that is wrong with it.

log {
  format = "json" # or "console"
  level  = "info"
}

# QUIC flows, placed by connection id: docs/quic.md. Off unless this block stands here: the platform allows UDP
# between relays only, so it is for other installations.
#
# quic {
#   listen      = "127.0.0.1:4433"
#   keys        = "deploy/quic.keys" # made by `scaledeal keys new`, mode 0600
#   idle        = "30s"              # a path without a datagram for so long is forgotten
#   max_flows   = 10000
#   max_paths   = 11000              # one descriptor each
#   retry_above = 256                # set-ups under way past which clients prove their address first
#   on_move     = "reset"            # or "keep": what the decision module moves stays where it is
#
#   rule "overlay" {
#     sni        = ["*.overlay.maps.example"]
#     class      = "overlay"
#     deadline   = "1200ms"
#     group_from = "label" # the map sheet is the server name's first label
#   }
#   rule "all" {
#     class = "browse"
#   }
# }
