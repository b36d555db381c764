"""Who plays the relays: ``module`` the decision module alone, ``relay`` the real network code on simulated sockets."""
