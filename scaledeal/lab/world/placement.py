"""Placement of the connections that exist before a run: each group on as few servers as capacity allows.

A run that started with randomly placed connections would start overloaded, because each server pays for every group of
which it holds a connection. Groups are therefore placed one after another on the server with the lowest load, and
continue on the next one when that server has its share.
"""

from __future__ import annotations

from collections import defaultdict

from scaledeal.lab.world.clients import Client
from scaledeal.lab.world.server import TileServer

FILL_LIMIT = 1.1  # load at which a server is full, relative to the mean


def place_initial_connections(
    clients: list[Client], servers: list[TileServer], group_cost: float
) -> dict[int, TileServer]:
    """Return the server of each client, by the client's number; ``group_cost`` is in reference cores."""
    if not servers:
        return {}
    groups: dict[str, list[Client]] = defaultdict(list)
    for client in clients:
        groups[client.group or client.key].append(client)
    power = sum(server.power for server in servers)
    total_load = sum(client.load for client in clients) + group_cost * len(groups)
    share = FILL_LIMIT * total_load / power
    loads = dict.fromkeys(servers, 0.0)
    places: dict[int, TileServer] = {}
    for _, members in sorted(groups.items(), key=lambda group: (-len(group[1]), group[0])):
        server: TileServer | None = None
        for client in members:
            if server is None or loads[server] / server.power > share:
                server = min(servers, key=lambda candidate: (loads[candidate] / candidate.power, candidate.name))
                loads[server] += group_cost if client.group else 0.0
            loads[server] += client.load
            places[client.number] = server
    return places
