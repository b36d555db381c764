"""What a fleet hears of a drain, and when: 230 relays and one discovery that takes calls in turn, in simulated time."""

from __future__ import annotations

import logging
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectError, ConnectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone, ResponseNeverReceived

from scaledeal import interface as api
from scaledeal.net import discovery_watch
from scaledeal.net.discovery_watch import CONNECT_TIMEOUT_S, MAX_LIST_BYTES
from scaledeal.net.driver import Driver
from scaledeal.net.figures import Figures
from scaledeal.net.roster import Catalog, UnixTimeConverter
from scaledeal.net.watch_times import (
    BODY_TIMEOUT_S,
    GOLDEN_RATIO,
    PRESUMED_KNOWN_AFTER_WAIT_S,
    PRESUMED_KNOWN_S,
    WatchTimes,
)

RELAYS, ASK_WITHIN, GRACE = 230, 10.0, 1.0
WINDOW = GRACE + 0.05  # the rule on sockets, in seconds
ENTRY = '{"name":"s","address":"127.0.0.1:1","status":"%s"}'


class Discovery:
    """One service: a new watch takes its turn, a watch that goes on costs nothing; or an agent, free and at once."""

    def __init__(self, clock: Clock, all_call: float, queue: float, relays: int = RELAYS) -> None:
        self.clock, self.cost, self.queue = clock, all_call / relays, queue
        self.free, self.version, self.drains, self.turns = 0.0, 1, False, 0
        self.down = ""  # what becomes of calls: they are "silent", "refused", or "lost" on the way
        self.heard: dict[int, float] = {}  # when each caller was last answered
        self.told: dict[int, float] = {}  # when what each caller missed counts as told
        self.open: dict[int, tuple[Deferred[Any], float, float]] = {}  # each open watch, its start and wait

    def request(self, who: int, query: str) -> Deferred[Any]:
        call: Deferred[Any] = Deferred(lambda _: None)
        after, _, wait = query.partition("&wait_ms=")
        waits = int(wait or 0) / 1000
        if self.down:
            if self.down != "silent":
                why = ConnectionRefusedError("refused") if self.down == "refused" else TimeoutError("lost")
                self.clock.callLater(0.001 if self.down == "refused" else CONNECT_TIMEOUT_S, call.errback, why)
            return call
        if self.cost and self.clock.seconds() - self.heard.get(who, -9.0) > 0.2:
            start = max(self.clock.seconds(), self.free)
            self.turns += 1
            if start - self.clock.seconds() > self.queue:
                self.clock.callLater(0.1, self.reply, call, 503)
                return call
            self.free = start + self.cost
            self.clock.callLater(self.free - self.clock.seconds(), self.answer, who, call, after, waits)
        else:
            self.answer(who, call, after, waits)
        return call

    def answer(self, who: int, call: Deferred[Any], after: str, waits: float) -> None:
        if self.down:
            return  # guards against an answer of a discovery that went down in the meantime
        if waits and after == f"?after={self.version}":
            self.open[who] = (call, self.clock.seconds(), waits)
            self.clock.callLater(waits, self.wait_over, who, call)
        else:
            self.heard[who] = self.clock.seconds()
            self.clock.callLater(0.001, self.reply, call, 200)

    def wait_over(self, who: int, call: Deferred[Any]) -> None:
        if self.open.get(who, (None,))[0] is call:
            del self.open[who]
            self.heard[who] = self.clock.seconds()
            self.reply(call, 200, f'{{"index":{self.version},"snapshot":false,"endpoints":[]}}'.encode())

    def reply(self, call: Deferred[Any], code: int, body: bytes = b"") -> None:
        state = "leaving" if self.drains else "active"
        listed = f'{{"index":{self.version},"snapshot":true,"endpoints":[{ENTRY % state}]}}'
        if not call.called:
            call.callback(SimpleNamespace(code=code, body=body or listed.encode()))

    def news(self) -> None:
        """Answer all open watches with a new version: from here on all are in step."""
        self.version += 1
        waiting, self.open = self.open, {}
        for who, (call, _, _) in waiting.items():
            self.answer(who, call, "", 0.0)

    def silence(self) -> None:
        """Have all open watches fall silent, and a server begin to drain."""
        now = self.clock.seconds()
        for who, (_, start, waits) in self.open.items():
            self.told[who] = max(now + PRESUMED_KNOWN_S, start + waits + PRESUMED_KNOWN_AFTER_WAIT_S)
        self.open.clear()
        self.drain()

    def drain(self) -> None:
        """Have a server begin to drain, heard of by nobody yet."""
        self.version += 1
        self.drains = True

    def reset(self) -> None:
        """Break all open watches."""
        broken, self.open = self.open, {}
        for call, _, _ in broken.values():
            call.errback(ConnectionError("reset"))


class Fleet:
    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        pushed: bool,
        all_call: float,
        queue: float,
        relays: int = RELAYS,
        step: float = 0.0,
    ) -> None:
        monkeypatch.setattr(discovery_watch, "read_body", lambda response, most: succeed(response.body))
        self.clock = Clock()
        self.clock.advance(1000)
        self.discovery = Discovery(self.clock, 0.0 if pushed else all_call, queue, relays)
        self.late: dict[int, float] = {}  # when each relay's module was told of the drain
        self.watches = [self.relay(number, relays, pushed, step) for number in range(relays)]

    def relay(self, me: int, relays: int, pushed: bool, step: float) -> discovery_watch.DiscoveryWatch:
        settings = api.Settings(
            classes=(api.RequestClass(aim=1, deadline=1),), siblings=RELAYS, me=me, ask_discovery=not pushed
        )
        driver = Driver(self.clock, settings, me, Figures(("c",)), lambda: int(self.clock.seconds() * 1e9))

        def listed(event: api.Membership, addresses: dict[str, str]) -> None:
            if any(entry.state is api.ServerState.DRAINING for entry in event.servers):
                self.late.setdefault(me, self.clock.seconds())
            driver.listed(event, addresses)

        made = self.watch(me, pushed, listed)
        driver.watch = made.watch
        if pushed:
            made.watch()
        else:
            self.clock.callLater(me * step, driver.listed, api.Membership(api.MembershipKind.INITIAL), {})
        return made

    def watch(self, me: int, pushed: bool, tell: discovery_watch.MembershipCallback) -> discovery_watch.DiscoveryWatch:
        made = discovery_watch.DiscoveryWatch(
            self.clock,
            "h",
            1,
            Catalog((), UnixTimeConverter(0)),
            tell,  # type: ignore[arg-type]
            WatchTimes(pushed, ASK_WITHIN, GRACE, me * GOLDEN_RATIO % 1),
            self.clock.seconds,
        )
        made.http_agent = SimpleNamespace(
            request=lambda _, url: self.discovery.request(me, url.decode().partition("members")[2])
        )
        return made

    def reload(self, pushed: bool) -> None:
        """Have every relay go over to another discovery, as a new configuration tells them in one moment."""
        old = self.discovery
        self.discovery = Discovery(self.clock, old.cost * len(self.watches), old.queue, len(self.watches))
        for me, watch in enumerate(self.watches):
            watch.close()
            self.watches[me] = self.watch(me, pushed, watch.report)
            self.watches[me].watch()

    def run(self, seconds: float, step: float = 0.05) -> None:
        self.clock.pump([step] * int(seconds / step))


@pytest.mark.parametrize("all_call,queue,after", [(8.0, 3.0, 12.0), (9.0, 1.0, 21.3)])
def test_all_hear_of_a_drain_in_time_when_every_watch_falls_silent(monkeypatch, all_call, queue, after):
    # Guards against a watch that is noticed as silent, or asked for anew by all at once, after the drain binds.
    fleet = Fleet(monkeypatch, False, all_call, queue)
    fleet.run(after)
    assert len(fleet.discovery.open) == RELAYS, "all watch"
    fleet.discovery.news()
    fleet.run(1)
    before = fleet.discovery.turns
    fleet.discovery.silence()
    fleet.run(ASK_WITHIN + PRESUMED_KNOWN_S + 2)
    assert len(fleet.late) == RELAYS
    worst = max(fleet.late[who] - told for who, told in fleet.discovery.told.items())
    assert worst <= WINDOW, f"a relay heard {worst:.2f} s after the news counted as told"
    assert fleet.discovery.turns - before <= 1.1 * RELAYS, "calls of the fleet that took a turn at discovery"


def started(monkeypatch: pytest.MonkeyPatch, relays: int, all_call: float, queue: float, step: float) -> Fleet:
    """Return a fleet of which all watch, its relays started so far apart that discovery refused none."""
    fleet = Fleet(monkeypatch, False, all_call, queue, relays, step)
    fleet.run(step * relays + all_call + 3.37)
    assert len(fleet.discovery.open) == relays, "all watch"
    return fleet


def worst_after(fleet: Fleet, moment: float) -> float:
    """Run on, and return how long after the moment the last relay's module was told of the drain."""
    while len(fleet.late) < len(fleet.watches) and fleet.clock.seconds() < moment + 30:
        fleet.run(1)
    assert len(fleet.late) == len(fleet.watches), "not all have heard"
    return max(fleet.late.values()) - moment


@pytest.mark.parametrize("relays,all_call,queue", [(6, 4.6, 3.0), (30, 6.0, 3.0), (230, 5.6, 1.0)])
def test_what_discovery_had_is_heard_of_in_time_though_every_watch_fell_silent_just_before(
    monkeypatch, relays, all_call, queue
):
    # Guards against a wait longer than the age at which a change counts as told: it was up to 14 s.
    fleet = started(monkeypatch, relays, all_call, queue, 1.3 * all_call / relays)
    fleet.discovery.silence()
    had = fleet.clock.seconds()
    assert worst_after(fleet, had) <= PRESUMED_KNOWN_S + WINDOW


@pytest.mark.parametrize("relays,all_call,queue", [(6, 4.6, 3.0), (40, 6.0, 1.0), (230, 6.0, 3.0)])
def test_all_hear_in_time_of_a_drain_as_all_watches_are_reset(monkeypatch, relays, all_call, queue):
    # Guards against relays that were refused for want of time and back off: the last one heard after 10.6 s.
    fleet = started(monkeypatch, relays, all_call, queue, 1.3 * all_call / relays)
    fleet.discovery.drain()
    fleet.discovery.reset()
    assert worst_after(fleet, fleet.clock.seconds()) <= PRESUMED_KNOWN_S + WINDOW


@pytest.mark.parametrize("how", ["silent", "refused", "lost"])
@pytest.mark.parametrize("away", [0.9, 8.0, 21.7])
@pytest.mark.parametrize("relays,all_call", [(6, 4.6), (40, 6.0)])
def test_all_hear_in_time_of_a_drain_once_discovery_is_back(monkeypatch, relays, all_call, how, away):
    # Guards against a pause after failed calls that outlasts the time within which news counts as told.
    back_again(monkeypatch, relays, all_call, how, away)


@pytest.mark.parametrize("how", ["silent", "refused", "lost"])
def test_a_fleet_of_hundreds_hears_in_time_once_discovery_is_back(monkeypatch, how):
    back_again(monkeypatch, RELAYS, 6.0, how, 8.0)


def back_again(monkeypatch: pytest.MonkeyPatch, relays: int, all_call: float, how: str, away: float) -> None:
    fleet = started(monkeypatch, relays, all_call, 3.0, 1.3 * all_call / relays)
    fleet.discovery.down = how
    fleet.discovery.reset()
    fleet.run(away)
    fleet.discovery.down, fleet.discovery.free = "", fleet.clock.seconds()
    fleet.discovery.drain()
    assert worst_after(fleet, fleet.clock.seconds()) <= PRESUMED_KNOWN_S + WINDOW


@pytest.mark.parametrize("moment", ["13 s in", "in the last moment of a wait", "as a wait begins"])
@pytest.mark.parametrize("then", ["answers", "refused", "silent"])
@pytest.mark.parametrize(
    "pushed,relays,all_call,queue", [(True, 5, 0.0, 0.0), (False, 6, 4.6, 3.0), (False, 40, 6.0, 1.0)]
)
def test_all_hear_in_time_where_watches_fall_silent_late(monkeypatch, pushed, relays, all_call, queue, then, moment):
    # Guards against a watch whose silence is noticed only after its next wait, and against a call that makes good for
    # it lost as well: discovery or the agent is away for the 3 s that follow.
    fleet = (
        Fleet(monkeypatch, True, 0.0, 0.0, relays)
        if pushed
        else started(monkeypatch, relays, all_call, queue, 1.3 * all_call / relays)
    )
    fleet.run(1000 + 13 - fleet.clock.seconds() if fleet.clock.seconds() < 1013 else 13)
    if moment != "13 s in":
        _, start, waits = min(fleet.discovery.open.values(), key=lambda call: call[1] + call[2])
        fleet.run(start + waits - fleet.clock.seconds() + (-0.004 if "last" in moment else 0.004), 0.001)
    assert len(fleet.discovery.open) >= relays - 1, "all watch"
    fleet.discovery.silence()
    had = fleet.clock.seconds()
    if then != "answers":
        fleet.discovery.down = then
        fleet.run(3)
        fleet.discovery.down, fleet.discovery.free = "", fleet.clock.seconds()
    # What is missed counts as told 6 s after discovery had it and could be reached: from its return on. What an agent
    # gets at its return counts at once.
    reached = had if then == "answers" else fleet.clock.seconds()
    at_once = pushed and then != "answers"
    assert worst_after(fleet, reached) <= (0.0 if at_once else PRESUMED_KNOWN_S) + WINDOW


@pytest.mark.parametrize("relays,all_call,queue", [(6, 4.6, 3.0), (40, 6.0, 1.0), (230, 6.0, 3.0)])
def test_a_fleet_that_is_told_of_another_discovery_in_one_moment_hears_of_drains_there_in_time(
    monkeypatch, relays, all_call, queue
):
    fleet = started(monkeypatch, relays, all_call, queue, 1.3 * all_call / relays)
    fleet.reload(False)
    fleet.discovery.drain()
    assert worst_after(fleet, fleet.clock.seconds()) <= PRESUMED_KNOWN_S + WINDOW


def test_who_was_refused_for_want_of_time_asks_again_within_a_second_however_often(monkeypatch):
    fleet = started(monkeypatch, 1, 0.5, 3.0, 1.0)
    discovery = fleet.discovery
    discovery.free = fleet.clock.seconds() + 25.0  # more than it lets anybody wait
    discovery.drain()
    discovery.reset()
    before = discovery.turns
    fleet.run(21.9)
    refused = discovery.turns - before
    assert 20 <= refused <= 45 and not fleet.late, f"{refused} calls in 22 s of refusals"
    fleet.run(1.0)
    assert discovery.turns > before + refused, "asked again within a second"
    fleet.run(3.5)
    assert fleet.late, "heard as soon as there was time"


def test_an_agent_that_falls_silent_or_is_away_is_heard_of_in_time(monkeypatch):
    # Guards against an agent's list that counts as told while the relay waits before it asks again.
    fleet = Fleet(monkeypatch, True, 0.0, 0.0, relays=5)
    fleet.run(7.3)
    fleet.discovery.silence()
    fleet.run(4)
    assert max(fleet.late[who] - told for who, told in fleet.discovery.told.items()) < 0
    fleet = Fleet(monkeypatch, True, 0.0, 0.0, relays=5)
    for away in (0.7, 3.1, 8.0):
        fleet.run(3.3)
        fleet.discovery.down, fleet.discovery.open, fleet.late = "silent", {}, {}
        fleet.run(away)
        fleet.discovery.down = ""
        fleet.discovery.silence()
        back = fleet.clock.seconds()
        fleet.run(PRESUMED_KNOWN_S)
        first_told = back if away > PRESUMED_KNOWN_S else back - away + PRESUMED_KNOWN_S
        assert max(fleet.late.values()) - first_told <= WINDOW, f"away for {away} s"


@pytest.mark.parametrize(
    "body,why",
    [
        (b'{"index":5,"endpoi', "truncated"),
        (b'{"index":5,"endpoints":[{"name":"s","status":"gone"}]}', "status"),
        (b'{"index":5,"endpoints":[{"name":7}]}', "endpoints"),
        (None, "did not end"),
    ],
)
def test_a_bad_answer_is_told_and_the_list_stays_and_is_asked_for_again(monkeypatch, caplog, body, why):
    # Guards against an answer cut short, malformed or without an end: told with its place, and asked for again.
    caplog.set_level(logging.WARNING)
    fleet = Fleet(monkeypatch, False, 0.01, 3.0, relays=1)
    fleet.run(3)
    watch, call = fleet.watches[0], fleet.discovery.open.pop(0)[0]
    if body is None:
        monkeypatch.setattr(discovery_watch, "read_body", lambda response, most: Deferred(lambda _: None))
    fleet.discovery.silence()
    fleet.discovery.reply(call, 200, body or b"x")
    monkeypatch.setattr(discovery_watch, "read_body", lambda response, most: succeed(response.body))
    assert watch.index == 1
    fleet.run(3)
    assert why in caplog.text
    assert watch.index == 2 and 0 in fleet.late


class Response:
    """An answer whose bytes come as the test gives them."""

    def __init__(self, code: int = 200) -> None:
        self.code, self.ended = code, False
        self.body: Any = None

    def deliverBody(self, body: Any) -> None:
        self.body = body
        body.makeConnection(SimpleNamespace(loseConnection=self.end))

    def end(self) -> None:
        self.ended = True


@pytest.mark.parametrize("code", [200, 503])
def test_an_answer_without_an_end_is_bounded_in_time_and_in_bytes(caplog, code):
    # Guards against a list that is read for ever: into the memory, or in place of the next call.
    clock, out, told = Clock(), [], []
    made = discovery_watch.DiscoveryWatch(
        clock,
        "h",
        1,
        Catalog((), UnixTimeConverter(0)),
        lambda event, _: told.append(event.kind),  # type: ignore[arg-type]
        WatchTimes(False, ASK_WITHIN, GRACE, 0.3),
        clock.seconds,
    )
    calls = iter([Deferred(lambda _: None) for _ in range(9)])
    made.http_agent = SimpleNamespace(request=lambda *_: out.append(call := next(calls)) or call)
    made.watch()
    slow = Response(code)
    out[0].callback(slow)
    slow.body.dataReceived(b"{")
    clock.advance(BODY_TIMEOUT_S + 0.01)
    assert slow.ended and len(out) == 2, "asked again as soon as it is given up"
    long = Response(code)
    out[1].callback(long)
    for _ in range(MAX_LIST_BYTES // 65_536 + 1):
        assert not long.ended
        long.body.dataReceived(bytes(65_536))
    assert long.ended and not long.body.parts, "nothing of it is kept"
    while len(out) == 2 and clock.seconds() < 9:
        clock.advance(0.05)
    assert len(out) == 3 and told == [], "discovery is there"
    assert "exceeds the size limit of a list" in caplog.text
    whole = Response()
    out[2].callback(whole)
    whole.body.dataReceived(b'{"index":3,"endpoints":[]}')
    whole.body.connectionLost(Failure(ResponseDone()))
    assert told == [api.MembershipKind.FULL] and made.index == 3


def test_settings_without_a_window_or_with_a_long_span_give_calls_that_can_be_answered():
    # Guards against an agent that is asked without a pause, and against waits that discovery does not take.
    agent = WatchTimes(True, 0.0, 0.0, 0.0)
    assert agent.timeout(0.0) > 0.05 and agent.retry_pause(0.0) > 0.02
    assert max(WatchTimes(False, 600.0, 90.0, place / 9).wait_time(7.0) for place in range(9)) <= 60.0


def test_the_reason_of_a_failed_call_is_one_line_however_it_is_wrapped(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against a log line with the traceback of an ordinary broken connection in it.
    inner = Failure(ConnectionDone("closed\ncleanly"))
    for wrapped in (inner, Failure(ConnectError(string=inner)), Failure(ResponseNeverReceived([inner]))):
        told = discovery_watch._failure_reason(wrapped)
        assert "closed cleanly" in told and "Failure" not in told and "\n" not in told
