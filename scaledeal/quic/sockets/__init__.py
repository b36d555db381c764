"""QUIC's sockets on Twisted, and the connection to ``scaledeal.net``; they carry out verdicts and decide nothing."""
