"""Case 7: a new version that starts while discovery is down sends to a server that the relay knows to be draining."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from stand_ins import BROKEN, HELD, CannotRunError, Platform, ServedConnection, run_case, settings, trouble, until

GRACE_S = 1.0  # Rules.DrainGrace
BINDING_S = 2.0  # what discovery tells binds a new version from so long after its yes
SLACK_S = 0.05  # each time limit is longer by this on sockets
OUTAGE_S = 12.0
BETWEEN_REQUESTS_S = 0.05


async def play(platform: Platform) -> int:
    """Tell the relay that a tile server drains, and upgrade it while discovery is down."""
    record, loop = platform.record, asyncio.get_running_loop()
    await platform.start_servers(4)
    before = platform.discovery.known()  # the list that the new version's file holds: it may be out of date
    draining = platform.servers[3]
    sends: list[float] = []  # of new work to the draining tile server

    def turn_away(connection: ServedConnection, text: str) -> None:
        """Turn new work away, as a draining tile server does."""
        sends.append(record.now())
        connection.send("BUSY")
        connection.transport.close()

    async def ask() -> None:
        """Have clients come, ask, and leave again."""
        while True:
            client = await platform.client(platform.first_line())
            loop.call_later(1.0, client.leave)
            await asyncio.sleep(BETWEEN_REQUESTS_S)

    old = await platform.start_relay("old")
    platform.tasks.append(asyncio.create_task(ask()))
    await asyncio.sleep(2)
    draining.on_open = turn_away
    platform.discovery.put(draining, "leaving")
    told = record.now()
    await asyncio.sleep(2)
    late = [at for at in sends if at > told + GRACE_S + SLACK_S]
    record.note(f"told at {told:.2f} s that {draining.name} drains; the old process sent {len(late)} requests too late")
    if late:
        return BROKEN
    if trouble():
        platform.discovery.go_down()
        loop.call_later(OUTAGE_S, lambda: platform.tasks.append(asyncio.create_task(platform.discovery.start())))
    down = record.now()
    new = await platform.start_relay("new", before)
    yes = record.now()
    record.note(f"the new process said yes {yes - down:.2f} s after discovery went down")
    old.signal(signal.SIGTERM)
    await until(lambda: old.process.returncode is not None, 3.7, "the end of the old process")
    await asyncio.sleep(down + OUTAGE_S - record.now())
    late = [at for at in sends if at > max(told, yes + BINDING_S) + GRACE_S + SLACK_S]
    asked = [client for client in platform.clients if client.asked_at > yes + BINDING_S + GRACE_S + SLACK_S]
    if not asked:
        raise CannotRunError("no request came in the time that counts")
    last = f", the last {late[-1] - told:.1f} s after it was told" if late else ""
    record.note(f"{len(late)} of {len(asked)} requests went to the draining {draining.name} too late{last}")
    record.note(f"the new process says {(await new.call('PING')).strip()!r}")
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, settings(), play))
