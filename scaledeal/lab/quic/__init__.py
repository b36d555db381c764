"""QUIC peers on aioquic, driven by the laboratory's own loop: a tile server, a client, and a traffic checker."""
