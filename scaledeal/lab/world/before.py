"""Where connections stood before a run: groups whole, as far as a server bears them.

A run that began with connections thrown anywhere would begin in trouble: each server that holds any of a group pays for
it. So groups are laid one after another onto the server that is asked for least, and on to the next when that has its
share.
"""

from __future__ import annotations

from collections import defaultdict

from scaledeal.lab.world.clients import Client
from scaledeal.lab.world.server import TileServer

SLACK = 1.1  # times the mean that a server is filled to


def stood(clients: list[Client], servers: list[TileServer], cost: float) -> dict[int, TileServer]:
    """Return the server of each client, by the client's number; ``cost`` is a group's, in reference cores."""
    if not servers:
        return {}
    groups: dict[str, list[Client]] = defaultdict(list)
    for client in clients:
        groups[client.group or client.key].append(client)
    power = sum(server.power for server in servers)
    whole = sum(client.load for client in clients) + cost * len(groups)
    share = SLACK * whole / power
    asked = dict.fromkeys(servers, 0.0)
    places: dict[int, TileServer] = {}
    for _, members in sorted(groups.items(), key=lambda each: (-len(each[1]), each[0])):
        server: TileServer | None = None
        for client in members:
            if server is None or asked[server] / server.power > share:
                server = min(servers, key=lambda each: (asked[each] / each.power, each.name))
                asked[server] += cost if client.group else 0.0
            asked[server] += client.load
            places[client.number] = server
    return places
