"""Case 7: where a fleet has many tile servers, a crowd that returns to a relay gets its answers after its time."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Any

from stand_ins import BROKEN, HELD, Client, Platform, Record, run_case, settings, trouble, until

LISTED = int(os.environ.get("N", "3200"))  # tile servers
RELAYS = 3
CLIENTS = 110  # of each relay; with those of two others under a third of 1,024 descriptors
ARRIVALS_PER_S = 4.0  # at each relay, in the mean
RETURN_S = (0.091, 0.91)  # after a break clients come again within so long
NOTICED_S = 1.0  # after its death the front sends no clients to a relay any more; the site file says 0.8 to 4 s
REFUSED_WAIT_S = (0.015, 0.12)  # of a client whose connection is refused; twice as long each time
LOST_AFTER_S = 0.55  # an answer so long after a request's time is lost: half a second, and 50 ms on sockets
HELD_BACK_S = 1.05  # a line may be held back for a second, and 50 ms on sockets
WATCHED_S = 14.0
# Share of new connections, and the time after which they are given up, by class
CLASSES = {"browse": (37, 3.0), "compare": (25, 1.2), "overlay": (21, 1.2), "notes": (17, 1.8)}


class ListedServer:
    """A tile server as discovery lists it; many have one address in common."""

    def __init__(self, name: str, address: str) -> None:
        self.name, self.address = name, address


class RelayClient(Client):
    """A client that comes again, once, where its connection breaks without MOVE."""

    def __init__(self, record: Record, number: int, first_line: str, request_class: str, relay: int) -> None:
        super().__init__(record, number, first_line)
        self.wait = CLASSES[request_class][1]
        self.request_class, self.relay = request_class, relay

    def lateness(self) -> float:
        """Return how long after its time the request was answered, or is still without an answer."""
        return (self.answered_at or self.record.now()) - self.asked_at - self.wait


async def play(platform: Platform) -> int:
    """Fill three relays, kill two, and have their clients come to the third."""
    draw, record = random.Random(1), platform.record
    await platform.start_servers(8)
    for number in range(LISTED - len(platform.servers)):
        platform.discovery.put(ListedServer(f"t{number}", platform.servers[number % 8].address))
    relays = [await platform.start_relay(f"n{number}", number) for number in range(RELAYS)]

    async def connect(relay: int, more: str = "") -> None:
        name = draw.choices(list(CLASSES), [share for share, _ in CLASSES.values()])[0]
        line = platform.first_line(int(CLASSES[name][1] * 1000), name, more)
        client = RelayClient(record, len(platform.clients) + 1, line, name, relay)
        platform.clients.append(client)
        await asyncio.get_running_loop().create_connection(lambda: client, "127.0.0.1", platform.ports[relay])

    async def fill(relay: int) -> None:
        for _ in range(CLIENTS):
            await connect(relay)
            await asyncio.sleep(draw.expovariate(ARRIVALS_PER_S))

    async def come_again(died: float) -> None:
        """Come through the front, which spreads clients over the relays that it takes for alive."""
        await asyncio.sleep(draw.uniform(*RETURN_S))
        wait = draw.uniform(*REFUSED_WAIT_S)
        while record.now() < died + NOTICED_S and draw.randrange(RELAYS) > 0:
            await asyncio.sleep(wait)  # sent to a dead relay, and refused
            wait *= 2
        await connect(0, ",again=1")

    await asyncio.gather(*(fill(number) for number in range(RELAYS)))
    await asyncio.sleep(5)
    before = list(platform.clients)
    report(record, "before", before)
    if trouble():
        standing = sum(client.open for client in before if client.relay > 0)
        for relay in relays[1:]:
            relay.signal(signal.SIGKILL)
        died = record.now()
        await asyncio.gather(*(come_again(died) for _ in range(standing)))
    await asyncio.sleep(WATCHED_S)
    returned = platform.clients[len(before) :]
    lost = [client for client in platform.clients if client.lateness() > LOST_AFTER_S]
    held = [client for client in platform.clients if client.relay == 0 and client.held_back() > HELD_BACK_S]
    report(record, "came again", returned)
    report(record, "stood at the relay", [client for client in before if client.relay == 0])
    record.note(f"{LISTED} tile servers: {len(lost)} requests lost, {len(held)} connections with a line held back")
    await until(lambda: relays[0].process.returncode is None, 1, "the relay that was left")
    return BROKEN if lost or held else HELD


def report(record: Record, who: str, clients: list[Any]) -> None:
    """Write what some clients were answered, and how late."""
    answers = Counter(client.answers[0].split(" ")[0] if client.answers else "none" for client in clients)
    latest = max((client.lateness() for client in clients), default=0.0)
    waits = max((client.held_back() for client in clients), default=0.0)
    told = ", ".join(f"{count} {answer}" for answer, count in sorted(answers.items()))
    record.note(
        f"{who}: {told or 'nobody'}; the latest answer {latest:+.2f} s from its time, a line held {waits:.2f} s"
    )


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, settings(), play))
