"""Runs one soak: starts the fleet, runs clients and faults, stops everything, and checks the history."""

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
from scaledeal.lab.soak.oracle import BAD_CLIENT_TIMEOUT_S, Oracle, Rule, Violation
from scaledeal.lab.soak.plan import Plan
from scaledeal.lab.soak.shim import build_shim

BEHAVIOR_WEIGHTS = {
    ClientBehavior.STAYS: 4,
    ClientBehavior.SHORT: 10,
    ClientBehavior.LEAVES: 3,
    ClientBehavior.SLOW: 1,
    ClientBehavior.STOPS: 1,
    ClientBehavior.BAD: 1,
    ClientBehavior.RESTS: 1,
}
TERMINATION_SPAN_S = 0.2  # over which SIGTERM is sent to all relays at the end
MAX_RETRIES = 3  # of a client after a refusal or a move
LAG_SAMPLE_INTERVAL_S = 0.02  # between two measurements of the driver's own delay
CLIENT_END_DELAY_S = 1.0  # after the end of the last process, for clients to notice it


class Result(msgspec.Struct):
    """The result of one soak."""

    seed: int
    relays: int
    servers: int
    seconds: float
    faults: dict[str, int]
    overlaps: int  # pairs of faults that overlapped in time
    requests: int
    established: int = msgspec.field(name="stood")
    refused: int
    failed: int
    attempts: int
    violations: list[Violation]
    void: str  # why nothing can be concluded from the soak; empty if something can
    longest_lag_ms: float
    folder: str

    def violation_counts(self) -> dict[Rule, int]:
        """Return how often each broken rule was broken."""
        return dict(Counter(violation.rule for violation in self.violations))

    def summary(self) -> str:
        """Return the result on one line."""
        verdict = (
            self.void or ", ".join(f"{count} {rule.value}" for rule, count in self.violation_counts().items()) or "held"
        )
        faults = " ".join(f"{name}*{count}" if count > 1 else name for name, count in self.faults.items())
        return (
            f"seed {self.seed}: {verdict} | {self.relays} relays, {self.servers} servers, {self.requests} requests, "
            f"{self.established} up, {self.refused} refused, {self.failed} failed, {self.attempts} attempts, "
            f"driver late {self.longest_lag_ms:.0f} ms | {self.overlaps} overlaps: {faults}"
        )


class Soak:
    """One running soak; implements the front for its clients."""

    def __init__(self, plan: Plan, folder: Path, shim_library: Path, command: tuple[str, ...]) -> None:
        """``command`` starts a relay process."""
        self.plan, self.folder = plan, folder
        self.fleet = Fleet(plan, folder, shim_library, command)
        self.random = Random(f"clients {plan.seed}")
        self.clients: set[asyncio.Task[None]] = set()

    # The front

    def target(self) -> Target | None:
        """Return the target of the next client, or None while no relay is in service."""
        return self.fleet.target()

    def now(self) -> float:
        """Return the driver's monotonic time in seconds."""
        return time.monotonic()

    def record_request(self, request: Request) -> None:
        """Add a new request to the history."""
        self.fleet.history.requests.append(request)

    def record_stalled_client(self, target: Target, seconds: float) -> None:
        """Record a bad client that was neither answered nor closed within ``BAD_CLIENT_TIMEOUT_S``."""
        if seconds > BAD_CLIENT_TIMEOUT_S:
            stalled = StalledClient(target.relay, target.incarnation, self.now() - seconds, seconds)
            self.fleet.history.stalled_clients.append(stalled)

    # The course of the soak

    async def run(self) -> Result:
        """Run the soak to its end and return the result.

        All processes are stopped and all sockets closed, also after an error.
        """
        lag_task = asyncio.create_task(self._measure_lag())
        try:
            await self.fleet.start()
            self.fleet.history.worst_lag = 0.0  # the lag while many processes start does not count
            faults = FaultInjector(self.fleet, self._start_clients)
            injections = [asyncio.create_task(faults.inject(event)) for event in self.plan.events]
            await self._generate_traffic()
            await self._terminate_all(injections)
        finally:
            lag_task.cancel()
            for client in list(self.clients):
                client.cancel()
            await asyncio.gather(*self.clients, return_exceptions=True)
            self.fleet.history.ended = self.now()
            await self.fleet.close()
        return self._result()

    async def _generate_traffic(self) -> None:
        end = self.now() + self.plan.seconds
        while self.now() < end:
            self._start_client()
            await asyncio.sleep(self.random.expovariate(self.plan.rate))

    async def _terminate_all(self, injections: list[asyncio.Task[None]]) -> None:
        """Terminate all relays in turn while new clients still start, and wait for all faults and processes to end."""
        self.fleet.stopping = True
        terminations = []
        for relay in self.fleet.relays:
            terminations.append(asyncio.create_task(self.fleet.terminate(relay, restart=False)))
            for _ in range(3):
                self._start_client()
                await asyncio.sleep(TERMINATION_SPAN_S / len(self.fleet.relays) / 3)
        await asyncio.gather(*terminations)
        await asyncio.gather(*injections)
        await asyncio.sleep(CLIENT_END_DELAY_S)

    def _start_client(
        self, after_move: bool = False, retries: int = MAX_RETRIES, behavior: ClientBehavior | None = None
    ) -> None:
        chosen_behavior = behavior or self.random.choices(list(BEHAVIOR_WEIGHTS), list(BEHAVIOR_WEIGHTS.values()))[0]
        entry = self.random.choice(self.plan.settings["Classes"])
        answer_timeout = entry["Deadline"] / 1e9 * self.random.choice((1.0, 1.0, 0.5, 0.1))
        client = Client(
            self, Random(self.random.getrandbits(64)), entry["Name"], answer_timeout, chosen_behavior, after_move
        )
        task = asyncio.create_task(self._run_client(client, retries))
        self.clients.add(task)
        task.add_done_callback(self.clients.discard)

    async def _run_client(self, client: Client, retries: int) -> None:
        answer = await client.run()
        if answer in ("BUSY", "MOVE") and retries > 0 and not self.fleet.stopping:
            await asyncio.sleep(self.random.choice((0.0, 0.1, 0.5)))
            self._start_client(answer == "MOVE", retries - 1, client.behavior)

    def _start_clients(self, count: int) -> None:
        for _ in range(count):
            self._start_client()

    async def _measure_lag(self) -> None:
        while True:
            due = self.now() + LAG_SAMPLE_INTERVAL_S
            await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
            history = self.fleet.history
            history.worst_lag = max(history.worst_lag, self.now() - due)

    def _result(self) -> Result:
        history, plan = self.fleet.history, self.plan
        oracle = Oracle(plan, history)
        answers = Counter(request.answer.partition(" ")[0] for request in history.requests)
        result = Result(
            seed=plan.seed,
            relays=plan.relays,
            servers=plan.servers,
            seconds=plan.seconds,
            faults=dict(Counter(event.fault.value for event in plan.events)),
            overlaps=_overlap_count(plan),
            requests=len(history.requests),
            established=answers["UP"],
            refused=answers["BUSY"],
            failed=answers["ERR"],
            attempts=len(history.attempts),
            violations=oracle.violations(),
            void=oracle.void_reason(),
            longest_lag_ms=history.worst_lag * 1000,
            folder=str(self.folder),
        )
        (self.folder / "history.json").write_bytes(msgspec.json.encode(history))
        (self.folder / "result.json").write_bytes(msgspec.json.encode(result))
        return result


def _overlap_count(plan: Plan) -> int:
    events = plan.events
    return sum(
        first.at <= second.at <= first.at + max(first.duration, 0.5)
        for index, first in enumerate(events)
        for second in events[index + 1 :]
    )


def run(plan: Plan, folder: Path, command: tuple[str, ...] = RELAY_COMMAND) -> Result:
    """Run a soak and write its logs, history and result into ``folder``, which is created if missing.

    ``command`` starts a relay process. Raise ShimUnavailableError if the shim cannot be built.
    """
    folder.mkdir(parents=True, exist_ok=True)
    shim_library = build_shim(folder)
    return asyncio.run(_run_until_terminated(Soak(plan, folder, shim_library, command)))


async def _run_until_terminated(soak: Soak) -> Result:
    """Run a soak; if the driver itself receives SIGTERM, cancel it so that no process is left behind."""
    task = asyncio.ensure_future(soak.run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task
