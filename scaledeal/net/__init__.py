"""The real relay round the decision module: sockets, clock and translation, no decisions."""
