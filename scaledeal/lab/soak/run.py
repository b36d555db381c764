"""Plays one soak: starts the fleet, lets clients and faults loose, ends everything, and judges the history."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from pathlib import Path
from random import Random

import msgspec

from scaledeal.lab.soak.client import Client, ClientBehavior, Target
from scaledeal.lab.soak.faults import FaultInjector
from scaledeal.lab.soak.fleet import RELAY_COMMAND, Fleet
from scaledeal.lab.soak.history import Request, StalledClient
from scaledeal.lab.soak.oracle import BAD_CLIENT, Judge, Rule, Violation
from scaledeal.lab.soak.plan import Plan
from scaledeal.lab.soak.shim import build_shim

BEHAVIORS = {
    ClientBehavior.STAYS: 4,
    ClientBehavior.SHORT: 10,
    ClientBehavior.LEAVES: 3,
    ClientBehavior.SLOW: 1,
    ClientBehavior.STOPS: 1,
    ClientBehavior.BAD: 1,
    ClientBehavior.RESTS: 1,
}
LAST_SERIES = 0.2  # seconds over which all relays are told to end
TRIES = 3  # times that a client comes again after a refusal or a move
LOOK = 0.02  # seconds between two looks at the driver's own delay
TAIL = 1.0  # seconds after the last process's end in which clients notice


class Result(msgspec.Struct):
    """What one soak came to."""

    seed: int
    relays: int
    servers: int
    seconds: float
    faults: dict[str, int]
    overlaps: int  # pairs of faults that ran at the same time
    requests: int
    stood: int
    refused: int
    failed: int
    attempts: int
    violations: list[Violation]
    void: str  # why it says nothing; empty where it does
    longest_lag_ms: float
    folder: str

    def broken(self) -> dict[Rule, int]:
        """Return how often each rule was broken."""
        return dict(Counter(violation.rule for violation in self.violations))

    def line(self) -> str:
        """Return the result on one line."""
        told = self.void or ", ".join(f"{count} {rule.value}" for rule, count in self.broken().items()) or "held"
        faults = " ".join(f"{name}*{count}" if count > 1 else name for name, count in self.faults.items())
        return (
            f"seed {self.seed}: {told} | {self.relays} relays, {self.servers} servers, {self.requests} requests, "
            f"{self.stood} up, {self.refused} refused, {self.failed} failed, {self.attempts} attempts, "
            f"driver late {self.longest_lag_ms:.0f} ms | {self.overlaps} overlaps: {faults}"
        )


class Soak:
    """One soak under way; it is the front that clients see."""

    def __init__(self, plan: Plan, folder: Path, library: Path, program: tuple[str, ...]) -> None:
        self.plan, self.folder = plan, folder
        self.fleet = Fleet(plan, folder, library, program)
        self.random = Random(f"clients {plan.seed}")
        self.clients: set[asyncio.Task[None]] = set()

    # The front

    def target(self) -> Target | None:
        """Return where the next client goes."""
        return self.fleet.target()

    def now(self) -> float:
        """Return the driver's time."""
        return time.monotonic()

    def record_request(self, request: Request) -> None:
        """Take a new request into the history."""
        self.fleet.history.requests.append(request)

    def record_stalled_client(self, target: Target, seconds: float) -> None:
        """Hear of a bad client that got neither answer nor close."""
        if seconds > BAD_CLIENT:
            stalled = StalledClient(target.relay, target.incarnation, self.now() - seconds, seconds)
            self.fleet.history.stalled_clients.append(stalled)

    # The play

    async def play(self) -> Result:
        """Play it to its end."""
        lag = asyncio.create_task(self._measure_lag())
        try:
            await self.fleet.start()
            self.fleet.history.worst_lag = 0.0  # the start of so many processes is no part of the judgement
            faults = FaultInjector(self.fleet, self._crowd)
            played = [asyncio.create_task(faults.inject(event)) for event in self.plan.events]
            await self._traffic()
            await self._end_all(played)
        finally:
            lag.cancel()
            for client in list(self.clients):
                client.cancel()
            await asyncio.gather(*self.clients, return_exceptions=True)
            self.fleet.history.ended = self.now()
            await self.fleet.close()
        return self._result()

    async def _traffic(self) -> None:
        until = self.now() + self.plan.seconds
        while self.now() < until:
            self._come()
            await asyncio.sleep(self.random.expovariate(self.plan.rate))

    async def _end_all(self, played: list[asyncio.Task[None]]) -> None:
        """Tell all relays to end in a series while clients go on, and wait for faults and processes."""
        self.fleet.stopping = True
        ends = []
        for relay in self.fleet.relays:
            ends.append(asyncio.create_task(self.fleet.terminate(relay, restart=False)))
            for _ in range(3):
                self._come()
                await asyncio.sleep(LAST_SERIES / len(self.fleet.relays) / 3)
        await asyncio.gather(*ends)
        await asyncio.gather(*played)
        await asyncio.sleep(TAIL)

    def _come(self, again: bool = False, tries: int = TRIES, behavior: ClientBehavior | None = None) -> None:
        chosen = behavior or self.random.choices(list(BEHAVIORS), list(BEHAVIORS.values()))[0]
        entry = self.random.choice(self.plan.settings["Classes"])
        wait = entry["Deadline"] / 1e9 * self.random.choice((1.0, 1.0, 0.5, 0.1))
        client = Client(self, Random(self.random.getrandbits(64)), entry["Name"], wait, chosen, again)
        task = asyncio.create_task(self._run(client, tries))
        self.clients.add(task)
        task.add_done_callback(self.clients.discard)

    async def _run(self, client: Client, tries: int) -> None:
        word = await client.run()
        if word in ("BUSY", "MOVE") and tries > 0 and not self.fleet.stopping:
            await asyncio.sleep(self.random.choice((0.0, 0.1, 0.5)))
            self._come(word == "MOVE", tries - 1, client.behavior)

    def _crowd(self, count: int) -> None:
        for _ in range(count):
            self._come()

    async def _measure_lag(self) -> None:
        while True:
            due = self.now() + LOOK
            await asyncio.sleep(LOOK)
            history = self.fleet.history
            history.worst_lag = max(history.worst_lag, self.now() - due)

    def _result(self) -> Result:
        history, plan = self.fleet.history, self.plan
        judge = Judge(plan, history)
        answers = Counter(request.answer.partition(" ")[0] for request in history.requests)
        result = Result(
            seed=plan.seed,
            relays=plan.relays,
            servers=plan.servers,
            seconds=plan.seconds,
            faults=dict(Counter(event.fault.value for event in plan.events)),
            overlaps=_overlaps(plan),
            requests=len(history.requests),
            stood=answers["UP"],
            refused=answers["BUSY"],
            failed=answers["ERR"],
            attempts=len(history.attempts),
            violations=judge.violations(),
            void=judge.void(),
            longest_lag_ms=history.worst_lag * 1000,
            folder=str(self.folder),
        )
        (self.folder / "history.json").write_bytes(msgspec.json.encode(history))
        (self.folder / "result.json").write_bytes(msgspec.json.encode(result))
        return result


def _overlaps(plan: Plan) -> int:
    events = plan.events
    return sum(
        first.at <= second.at <= first.at + max(first.duration, 0.5)
        for index, first in enumerate(events)
        for second in events[index + 1 :]
    )


def run(plan: Plan, folder: Path, program: tuple[str, ...] = RELAY_COMMAND) -> Result:
    """Play a soak with its files in a folder of its own; raise ShimUnavailableError where the shim can't be built.

    ``program`` is the command that starts a relay.
    """
    folder.mkdir(parents=True, exist_ok=True)
    library = build_shim(folder)
    return asyncio.run(_until_terminated(Soak(plan, folder, library, program)))


async def _until_terminated(soak: Soak) -> Result:
    """Play, and leave nothing behind where the driver itself is told to end."""
    task = asyncio.ensure_future(soak.play())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task
