"""A driver for one balancer: keeps its timers and attempts, and checks each action against the rules."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from scaledeal import interface as api
from scaledeal.policy import Balancer

MS = 1_000_000
SECOND = 1000 * MS

BASE = api.Settings(
    classes=(
        api.RequestClass(aim=300 * MS, deadline=2 * SECOND, worth=3.0, message_aim=50 * MS),
        api.RequestClass(aim=800 * MS, deadline=5 * SECOND, worth=1.0, message_aim=250 * MS),
    ),
    max_attempts=4,
    may_cancel=True,
    cold_share=0.1,
    warm_after=20 * SECOND,
    overload_factor=4.0,
    overload_window=3 * SECOND,
)
# Results after which a request has certainly not run
NOT_EXECUTED = (api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.NOT_SENT)


def entries(count: int, **changes: object) -> tuple[api.ServerEntry, ...]:
    return tuple(replace(api.ServerEntry(f"s{i}", zone=i % 2, cell=i % 3), **changes) for i in range(count))


@dataclass
class SentAttempt:
    server: api.ServerEntry
    sent: int
    due: int
    result: api.Result | None = None
    established: bool = False


@dataclass
class ClientRequest:
    cls: int
    deadline: int
    attempts: list[SentAttempt] = field(default_factory=list)
    over: bool = False
    established: bool = False


class Driver:
    """Passes events to a balancer and carries out its actions; an action that breaks a rule fails the test at once."""

    def __init__(self, settings: api.Settings = BASE, seed: int = 1, servers: int = 4) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.now = 1000 * SECOND
        self.timers: list[tuple[int, int]] = []
        self.requests: dict[str, ClientRequest] = {}
        self.listed: dict[str, api.ServerEntry] = {}
        self.log: list[str] = []
        self.probes_answered = True
        self.performed: list[tuple[int, api.Action]] = []
        self.members(api.MembershipKind.INITIAL, entries(servers))

    def members(self, kind: api.MembershipKind, servers: tuple[api.ServerEntry, ...]) -> list[api.Action]:
        if kind in (api.MembershipKind.INITIAL, api.MembershipKind.FULL):
            self.listed = {}
        self.listed.update({entry.server: entry for entry in servers})
        return self.event(api.Membership(kind, servers))

    def event(self, event: api.Event) -> list[api.Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.performed.append((self.now, action))
            self._carry_out(action)
        # Unless a test sets ``probes_answered`` to False, a probe is answered at once, without a report.
        for action in actions if self.probes_answered else ():
            if isinstance(action, api.Probe):
                self.event(api.ProbeResult(action.server, api.Result.OK, MS))
        return actions

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.SetTimer():
                assert action.delay > 0
                self.timers.append((self.now + action.delay, action.token))
            case api.Send():
                self._send(action)
            case api.Refuse() | api.Fail():
                request = self.requests[action.request]
                assert not request.over, "a second final answer"
                assert all(a.result is not None for a in request.attempts), "answered while an attempt is under way"
                if isinstance(action, api.Refuse):
                    self._check_may_refuse(request)
                request.over = True
            case api.Cancel():
                assert self.settings.may_cancel
                assert action.attempt < len(self.requests[action.request].attempts)
            case api.Move():
                request = self.requests[action.request]
                assert request.established
                request.over = True
            case api.Probe():
                assert self.settings.may_probe
                assert action.server in self.listed
            case api.Log():
                self.log.append(action.text)

    def _send(self, action: api.Send) -> None:
        request = self.requests[action.request]
        assert not request.over, "sent after the final answer"
        assert all(a.result is not None for a in request.attempts), "two attempts at once"
        assert len(request.attempts) < self.settings.max_attempts
        entry = self.listed.get(action.server)
        assert entry is not None and entry.state is api.ServerState.LIVE, "sent to a server that drains or is gone"
        cls = self.settings.classes[request.cls]
        may_have_run = [a for a in request.attempts if a.result not in NOT_EXECUTED]
        if may_have_run and cls.semantics is not api.Semantics.REPEATABLE:
            assert cls.semantics is api.Semantics.KEYED, "an unsafe request sent again"
            for before in may_have_run:
                assert self.now < before.sent + cls.window, "sent again after the window"
                if cls.scope is api.Scope.ZONE:
                    assert before.server.zone == entry.zone
                if cls.scope is api.Scope.CELL:
                    assert before.server.cell == entry.cell
        due = min(request.deadline, self.now + action.timeout) if action.timeout else request.deadline
        request.attempts.append(SentAttempt(entry, self.now, due))

    def _check_may_refuse(self, request: ClientRequest) -> None:
        cls = self.settings.classes[request.cls]
        if cls.semantics is api.Semantics.REPEATABLE or all(a.result in NOT_EXECUTED for a in request.attempts):
            return
        assert (cls.semantics, cls.scope) == (api.Semantics.KEYED, api.Scope.ALL), "refused a request that may have run"

    # Events that a test can cause

    def arrive(self, name: str, cls: int = 0, **fields: object) -> list[api.Action]:
        self.requests[name] = ClientRequest(cls, self.now + self.settings.classes[cls].deadline)
        return self.event(api.Request(name, cls, self.requests[name].deadline, **{"key": name, **fields}))

    def pending(self) -> list[str]:
        """Return the names of the requests with a set-up under way."""
        sent = [
            (name, request) for name, request in self.requests.items() if request.attempts and not request.established
        ]
        return [name for name, request in sent if request.attempts[-1].result is None]

    def server_of(self, name: str) -> str:
        return self.requests[name].attempts[-1].server.server

    def establish(self, name: str, elapsed: int = 20 * MS) -> list[api.Action]:
        request = self.requests[name]
        request.established = True
        return self.event(api.Established(name, len(request.attempts) - 1, self.server_of(name), elapsed))

    def end(self, name: str, result: api.Result) -> list[api.Action]:
        request = self.requests[name]
        last = request.over or request.established or result is api.Result.OK
        request.attempts[-1].result = result
        request.over = last
        return self.event(api.Outcome(name, len(request.attempts) - 1, self.server_of(name), result, MS, last))

    def leave(self, name: str) -> list[api.Action]:
        self.requests[name].over = True
        return self.event(api.ClientGone(name))

    def wait(self, span: int) -> None:
        """Let time pass: fire timers, time out attempts, and check that no answer is late."""
        end = self.now + span
        while True:
            moments = [at for at, _ in self.timers]
            moments += [self.requests[n].attempts[-1].due for n in self.pending()]
            if not moments or min(moments) > end:
                break
            self.now = max(self.now, min(moments))
            for name in [n for n in self.pending() if self.requests[n].attempts[-1].due <= self.now]:
                self.end(name, api.Result.TIMEOUT)
            due = [timer for timer in self.timers if timer[0] <= self.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            for _, token in due:
                self.event(api.Timer(token))
            self.check_no_answer_overdue()
        self.now = end

    def check_no_answer_overdue(self) -> None:
        for name, request in self.requests.items():
            assert request.over or request.established or self.now <= request.deadline, f"no answer for {name} in time"

    def actions(self, kind: type) -> list[api.Action]:
        return [action for _, action in self.performed if isinstance(action, kind)]
