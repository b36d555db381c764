"""Test harness of the QUIC side: relay processes, with simulated tile servers, discovery and QUIC clients."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from scaledeal.lab.discovery import Discovery
from scaledeal.lab.loop import Loop
from scaledeal.lab.quic.checker import TrafficRecord
from scaledeal.lab.quic.client import Client
from scaledeal.lab.quic.tile_server import TileServer
from scaledeal.lab.relay import RelayProcess
from scaledeal.quic.ids import key_file
from scaledeal.quic.ids.keys import new_ring

RULES = """
  rule "overlay" {
    sni   = ["*.overlay.example"]
    class = "overlay"
  }
  rule "all" {
    class = "browse"
  }
"""


class QuicWorld:
    """Starts, and finally closes, the processes and peers of a test."""

    def __init__(self, folder: Path, servers: int = 2, rules: str = RULES, port: int = 0, **settings: Any) -> None:
        self.folder = folder
        self.loop = Loop()
        self.record = TrafficRecord()
        self.keys_path = folder / "quic.keys"
        key_file.write(self.keys_path, new_ring())
        self.settings_path = folder / "scaledeal.hcl"
        self.rules, self.settings = rules, {"max_flows": 100, "max_paths": 120, **settings}
        self.write_settings(port)
        self.discovery = Discovery(self.loop)
        self.servers = [self.new_server(f"s-{number}") for number in range(servers)]
        self.relays: list[RelayProcess] = []
        self.clients: list[Client] = []

    def write_settings(self, port: int = 0) -> None:
        def hcl_value(value: Any) -> str:
            return f'"{value}"' if isinstance(value, str) else str(value)

        lines = "\n".join(f"  {name} = {hcl_value(value)}" for name, value in self.settings.items())
        paths = f'  listen = "127.0.0.1:{port}"\n  keys = "{self.keys_path}"\n'
        self.settings_path.write_text(f"quic {{\n{paths}{lines}\n{self.rules}}}\n")

    def new_server(self, name: str) -> TileServer:
        server = TileServer(self.loop, name, key_file.read(self.keys_path), self.record)
        self.discovery.put(name, server.address)
        return server

    def server(self, name: str) -> TileServer:
        return next(server for server in self.servers if server.name == name)

    def other_servers(self, name: str) -> list[TileServer]:
        return [server for server in self.servers if server.name != name]

    def start_relay(self, name: str = "n0", **options: Any) -> RelayProcess:
        relay = RelayProcess(self.loop, self.folder, self.discovery.address, self.settings_path, name, **options)
        self.relays.append(relay)
        relay.wait_for_log_line("quic is served")
        # Until the relay has received the server list, it refuses new flows.
        self.loop.run_until(
            lambda: relay.metric("relay_registry_entries") >= len(self.discovery.entries), "the server list"
        )
        return relay

    def restart_relay(self, relay: RelayProcess) -> RelayProcess:
        """Kill a relay and start a new one at the same address, without any of its state."""
        self.write_settings(relay.quic_port)
        relay.kill()
        return self.start_relay()

    def new_client(self, relay: RelayProcess, **options: Any) -> Client:
        client = Client(self.loop, ("127.0.0.1", relay.quic_port), self.record, **options)
        self.clients.append(client)
        return client

    def run_until(self, condition: Callable[[], Any], description: str = "") -> None:
        self.loop.run_until(condition, description)

    def close(self) -> None:
        for relay in self.relays:
            if not relay.ended():
                relay.kill()
        self.loop.close()

    def check_traffic(self) -> None:
        """Assert that the recorded traffic broke no rule, each client got an answer, and no relay logged a defect."""
        assert self.record.violations() == []
        assert self.record.unanswered([client.dcid for client in self.clients]) == []
        errors = [line for relay in self.relays for line in relay.log if "Traceback" in line or "could not" in line]
        assert errors == [], "\n".join(errors)
