"""One spoilt answer of a tile server to a probe, and a tile server that joins: does the relay still serve."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig as shared

SERVERS = 12
CLIENTS = 60
ARRIVAL_INTERVAL_S = 0.3  # 9.4 a second over three relays
SPOILT_DIGITS = "99999999"  # stand before the number of requests in one answer
SPOILT_WITHIN_S = 15.0
HELD_BACK_S = 1.05  # a line held back for over a second, and 50 ms
OVERDUE_S = 0.55  # after its time a request without an answer is lost: half a second, and 50 ms
WATCHED_S = 10.0


def memory_mb(relay: shared.Relay) -> int:
    """Return the most memory that a relay has had."""
    status = Path(f"/proc/{relay.process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) // 1024


async def play(rig: shared.Rig) -> list[str]:
    """Spoil one answer, have a tile server join, and watch the clients."""
    await rig.start_servers(SERVERS)
    relay = rig.relay()
    await relay.start("v1")
    await relay.wait_ready(30)
    await rig.stand(CLIENTS, 0.05)

    async def arrive() -> None:
        while True:
            await rig.client()
            await asyncio.sleep(ARRIVAL_INTERVAL_S)

    arrivals = asyncio.create_task(arrive())
    await asyncio.sleep(2.0)
    if rig.trouble:
        rig.servers[0].say(f"spoil {SPOILT_DIGITS}")
        end = time.monotonic() + SPOILT_WITHIN_S
        while not rig.servers[0].spoilt_answers:
            if time.monotonic() > end:
                raise shared.CouldNotRunError("the tile server was not probed")
            await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)
    rig.record(f"memory: {memory_mb(relay)} MB")
    joined = shared.TileServer("s12", rig.servers[0].zone, 0, rig.record)
    joined.since_ms = int(time.clock_gettime(time.CLOCK_REALTIME) * 1000)
    await joined.start()
    rig.discovery.change(joined, "active")
    found: dict[str, str] = {}
    end = time.monotonic() + WATCHED_S
    while time.monotonic() < end:
        await asyncio.sleep(0.1)
        note_breaches(rig, found)
    arrivals.cancel()
    rig.record(f"memory: {memory_mb(relay)} MB of 192; PING: {await relay.call('PING') or 'no answer'}")
    return list(found.values())


def note_breaches(rig: shared.Rig, found: dict[str, str]) -> None:
    """Note each client whose line is held back or whose request is not answered; no tile server has failed."""
    now = time.monotonic()
    for client in rig.clients:
        if client.stands and client.unanswered and now - client.unanswered[0][0] > HELD_BACK_S:
            found[client.id] = (
                f"client {client.id} at {client.server}: {client.unanswered[0][1]!r} has been held back for"
                f" {now - client.unanswered[0][0]:.1f} s"
            )
        elif not client.answer and client.sent_at and now - client.sent_at > client.wait_ms / 1000 + OVERDUE_S:
            found[client.id] = f"client {client.id}: no answer {now - client.sent_at:.1f} s after it asked"


if __name__ == "__main__":
    sys.exit(shared.main(Path(__file__).resolve().parent, play))
