"""Codecs for QUIC packets, Initial packet protection, frames and the ClientHello; pure functions without I/O."""
