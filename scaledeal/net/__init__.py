"""The network side of a relay, round the decision module: sockets, clock and translation, but no decisions."""
