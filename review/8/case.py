"""Case 8: a relay that is drained while a new version takes over goes on holding clients that nobody moves."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from stand_ins import BROKEN, HELD, CannotRunError, Client, Platform, run_case, settings, trouble, until

CLIENTS = 40
MOVED_WITHIN_S = 4.0  # after LAMEDUCK
SLACK_S = 0.05  # each time limit is longer by this on sockets
TERM_AFTER_START_S = 6.0  # the old process gets SIGTERM when the time for the new one's yes is over
WATCHED_S = 10.0  # after LAMEDUCK


async def play(platform: Platform) -> int:
    """Drain the relay, by the operators' address of the process that says yes, in the middle of an upgrade."""
    record = platform.record
    await platform.start_servers(4)
    relay = old = await platform.start_relay("old")
    for _ in range(CLIENTS):
        client = await platform.client(platform.first_line())
        await until(lambda client=client: bool(client.answers or client.ended_at), 4, "an answer")
    if trouble():
        started = record.now()
        relay = await platform.start_relay("new")
        asyncio.get_running_loop().call_later(started + TERM_AFTER_START_S - record.now(), old.signal, signal.SIGTERM)
    await asyncio.sleep(0.5)
    standing = [client for client in platform.clients if client.open]
    answer = (await relay.call("LAMEDUCK")).strip()
    called = record.now()
    record.note(f"{len(standing)} clients stand; LAMEDUCK at {called:.2f} s is answered {answer!r}")
    if not answer.startswith("ok") or len(standing) < CLIENTS:
        raise CannotRunError("the relay did not begin to drain")
    await asyncio.sleep(MOVED_WITHIN_S + SLACK_S)
    held = [client for client in standing if client.open]
    record.note(
        f"{record.now() - called:.2f} s later: {len(held)} not moved; PING: {(await relay.call('PING')).strip()!r}"
    )
    await asyncio.sleep(called + WATCHED_S - record.now())
    still = [client for client in standing if client.open]
    record.note(
        f"{record.now() - called:.2f} s later: {len(still)} not moved; PING: {(await relay.call('PING')).strip()!r}"
    )
    record.note(f"{moved(standing)} were moved, {sum(client.cut for client in standing)} cut off")
    return BROKEN if held else HELD


def moved(clients: list[Client]) -> int:
    """Return how many clients were sent MOVE."""
    return sum(client.moved for client in clients)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, settings(), play))
