"""A relay process, stand-in tile servers, discovery and clients that speak QUIC, for the tests of the QUIC side."""

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
    """Owns everything that a test starts."""

    def __init__(self, folder: Path, servers: int = 2, rules: str = RULES, port: int = 0, **settings: Any) -> None:
        self.folder = folder
        self.loop = Loop()
        self.record = TrafficRecord()
        self.keys = folder / "quic.keys"
        key_file.write(self.keys, new_ring())
        self.file = folder / "scaledeal.hcl"
        self.rules, self.settings = rules, {"max_flows": 100, "max_paths": 120, **settings}
        self.write_file(port)
        self.discovery = Discovery(self.loop)
        self.servers = [self.new_server(f"s-{number}") for number in range(servers)]
        self.relays: list[RelayProcess] = []
        self.clients: list[Client] = []

    def write_file(self, port: int = 0) -> None:
        def shown(value: Any) -> str:
            return f'"{value}"' if isinstance(value, str) else str(value)

        lines = "\n".join(f"  {name} = {shown(value)}" for name, value in self.settings.items())
        places = f'  listen = "127.0.0.1:{port}"\n  keys = "{self.keys}"\n'
        self.file.write_text(f"quic {{\n{places}{lines}\n{self.rules}}}\n")

    def new_server(self, name: str) -> TileServer:
        server = TileServer(self.loop, name, key_file.read(self.keys), self.record)
        self.discovery.put(name, server.address)
        return server

    def server(self, name: str) -> TileServer:
        return next(each for each in self.servers if each.name == name)

    def others(self, name: str) -> list[TileServer]:
        return [each for each in self.servers if each.name != name]

    def relay(self, name: str = "n0", **more: Any) -> RelayProcess:
        started = RelayProcess(self.loop, self.folder, self.discovery.address, self.file, name, **more)
        self.relays.append(started)
        started.until_told("quic is served")
        # New flows go where the module knows servers; a list that has not come yet refuses them.
        self.loop.until(lambda: started.figure("relay_registry_entries") >= len(self.discovery.entries), "the list")
        return started

    def again(self, relay: RelayProcess) -> RelayProcess:
        """Kill a relay and start it anew at the same address, with nothing that it knew."""
        self.write_file(relay.quic_port)
        relay.kill()
        return self.relay()

    def client(self, relay: RelayProcess, **more: Any) -> Client:
        made = Client(self.loop, ("127.0.0.1", relay.quic_port), self.record, **more)
        self.clients.append(made)
        return made

    def turn_until(self, holds: Callable[[], Any], what: str = "") -> None:
        self.loop.until(holds, what)

    def close(self) -> None:
        for relay in self.relays:
            if not relay.ended():
                relay.kill()
        self.loop.close()

    def check(self) -> None:
        """Hold what crossed the sockets against the rules."""
        assert self.record.violations() == []
        assert self.record.unanswered([client.dcid for client in self.clients]) == []
        told = [line for relay in self.relays for line in relay.log if "Traceback" in line or "could not" in line]
        assert told == [], "\n".join(told)
