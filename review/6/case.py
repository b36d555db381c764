"""Case 6: a repeat whose connection comes up late is written after the window in which repeats are discarded."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

from stand_ins import (
    BROKEN,
    HELD,
    MS,
    CannotRunError,
    LateTileServer,
    Platform,
    ServedConnection,
    run_case,
    settings,
    trouble,
    until,
)

WINDOW_S = 1.0  # the class's Window: all tile servers discard repeats of a request for so long
SLACK_S = 0.2  # each time limit is 50 ms longer on sockets, and a relay may be held up for up to 0.15 s
DEADLINE_MS = 4800
ERROR_AFTER_S = 0.6  # from a request's first arrival to the tile server's ERR: well inside the window
LATE_FOR_S = 0.9  # the other tile servers take new connections again so long after their becoming late
REQUESTS = 9
TROUBLED = {5, 9}  # of these, the requests whose first attempt ends with ERR


def keyed_settings() -> dict[str, Any]:
    """Return a small deployment's settings with one class whose repeats all tile servers discard for a second."""
    keyed = settings(Caps={"DialTimeout": 1500 * MS})
    keyed["Classes"] = [
        {
            "Name": "guest-browse",
            "Aim": 800 * MS,
            "Deadline": DEADLINE_MS * MS,
            "KeyScope": "all",
            "LateShare": 0.0,
            "Semantics": "by_key",
            "Stream": True,
            "Window": int(WINDOW_S * 1000) * MS,
            "Worth": 1.0,
        }
    ]
    keyed["Specifics"]["MessageAim"] = [250 * MS]
    return keyed


async def play(platform: Platform) -> int:
    """Send requests one by one; two of them end with ERR, and their repeats' connections come up late."""
    record, loop = platform.record, asyncio.get_running_loop()
    await platform.start_servers(3, LateTileServer)
    arrivals: dict[str, list[float]] = {}  # of whole first lines, by id
    troubled: set[str] = set()

    def on_open(connection: ServedConnection, text: str) -> None:
        """Run a request, or discard it as a repeat; the tile servers share what they have seen."""
        seen = arrivals.setdefault(connection.id, [])
        seen.append(record.now())
        age = seen[-1] - seen[0]
        name = connection.server.name
        if len(seen) == 1:
            record.write(name, f"RUN {connection.id}")
        elif age <= WINDOW_S + SLACK_S:
            record.write(name, f"discarded repeat of {connection.id}, {age:.3f} s after the first")
        else:
            record.write(name, f"RUN AGAIN {connection.id}, {age:.3f} s after the first")
        if connection.id in troubled and len(seen) == 1:
            others = [server for server in platform.servers if server is not connection.server]
            loop.call_later(ERROR_AFTER_S, fail, connection)
            if trouble():
                for server in others:
                    assert isinstance(server, LateTileServer)
                    loop.call_later(ERROR_AFTER_S - 0.05, server.become_late)
                    loop.call_later(ERROR_AFTER_S - 0.05 + LATE_FOR_S, server.become_punctual)
        else:
            loop.call_later(0.005, connection.serve)

    def fail(connection: ServedConnection) -> None:
        connection.send("ERR")
        connection.transport.close()
        record.write(connection.server.name, f"{connection.id} ERR")

    for server in platform.servers:
        server.on_open = on_open
    await platform.start_relay("n0")
    for number in range(1, REQUESTS + 1):
        line = platform.first_line(DEADLINE_MS, "guest-browse")
        if number in TROUBLED:
            troubled.add(line.split(" ")[1])
        client = await platform.client(line)
        await until(lambda client=client: bool(client.answers or client.ended_at), 6, "an answer")
        await asyncio.sleep(0.4)
    await asyncio.sleep(1)
    repeated = {each: times for each, times in arrivals.items() if len(times) > 1}
    for each, times in repeated.items():
        record.note(f"{each} was sent {len(times)} times, the last {times[-1] - times[0]:.3f} s after the first")
    if not trouble() and len(repeated) < len(TROUBLED):
        raise CannotRunError("no request was repeated")
    twice = [each for each, times in repeated.items() if times[-1] - times[0] > WINDOW_S + SLACK_S]
    record.note(f"{len(arrivals)} requests, {len(repeated)} repeated, {len(twice)} run twice")
    return BROKEN if twice else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, keyed_settings(), play))
