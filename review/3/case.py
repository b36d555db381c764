"""An upgrade, and clients that send the id of another client's open request: what runs twice."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig as shared

SERVERS = 12
STANDING = 40
BAD_CLIENTS = 8  # each sends the id of another client's open request, once
BAD_INTERVAL_S = 0.1
SIGTERM_AFTER_S = 1.0  # after the yes
BAD_ANSWER_WITHIN_S = 3.05  # an error or a close is due within 3 s of connecting
WATCHED_S = 5.0


async def play(rig: shared.Rig) -> list[str]:
    """Have bad clients come while the old process holds what they name, and the new one takes clients."""
    await rig.start_servers(SERVERS)
    old = rig.relay()
    await old.start("v1")
    await old.wait_ready(30)
    await rig.stand(STANDING, 0.03)
    await asyncio.sleep(1.0)
    usual = [client for client in rig.clients if client.stands][:BAD_CLIENTS]
    if rig.trouble:
        new = rig.relay()
        await new.start("v2")
        await new.wait_ready(6)
    bad = []
    for client in usual:
        # The same first line but for its group, as of a client that guessed or copied an id.
        line = client.open_line.rpartition(",g=")[0] + f",g={len(bad) + 1:016x}"
        bad.append(await rig.client(identity=client.id, open_line=line))
        await asyncio.sleep(BAD_INTERVAL_S)
    await asyncio.sleep(max(0.0, SIGTERM_AFTER_S - BAD_CLIENTS * BAD_INTERVAL_S))
    if rig.trouble:
        old.send(signal.SIGTERM)
    await asyncio.sleep(WATCHED_S)
    return breaches(rig, bad)


def breaches(rig: shared.Rig, bad: list[shared.Client]) -> list[str]:
    """Return what was seen against the rule."""
    found = []
    for client in bad:
        if client.up:
            found.append(f"bad client with id {client.id} was served: {client.answer}")
        elif not client.answer and not client.over and time.monotonic() - client.sent_at > BAD_ANSWER_WITHIN_S:
            found.append(f"bad client with id {client.id} got neither an error nor a close")
    attempts: dict[str, list[tuple[float, float, str]]] = {}  # by id: when it came up, when it was over, and where
    for server in rig.servers:
        for identity, came_up, over in server.runs:
            attempts.setdefault(identity, []).append((came_up, over or float("inf"), server.name))
    for identity, runs in attempts.items():
        runs.sort()
        for (_, over, first), (came_up, _, second) in zip(runs, runs[1:], strict=False):
            if came_up < over:
                found.append(f"id {identity} ran at {second} while it ran at {first}")
    return found


if __name__ == "__main__":
    sys.exit(shared.main(Path(__file__).resolve().parent, play))
