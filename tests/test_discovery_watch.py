"""How soon a fleet learns of a drain: 230 relays and one discovery that takes calls in turn, in simulated time."""

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

RELAYS = 230
ASK_WITHIN_S = 10.0
DRAIN_GRACE_S = 1.0
DRAIN_WINDOW_S = DRAIN_GRACE_S + 0.05  # time after which nothing may be sent to a draining server
ENTRY = '{"name":"s","address":"127.0.0.1:1","status":"%s"}'


class FakeDiscovery:
    """Discovery as one service, where a new watch takes its turn and a continued one costs nothing; or an agent.

    An agent answers at once and without cost: ``fleet_cost`` is 0. Else that is the seconds for a call of each relay,
    and ``max_queue`` the seconds that a call may wait for its turn before it is refused.
    """

    def __init__(self, clock: Clock, fleet_cost: float, max_queue: float, relays: int = RELAYS) -> None:
        self.clock, self.call_cost, self.max_queue = clock, fleet_cost / relays, max_queue
        self.free_at, self.version, self.draining, self.turns = 0.0, 1, False, 0
        self.failure = ""  # how calls fail: "silent", "refused", or "lost" on the way; "" where they don't
        self.answered_at: dict[int, float] = {}  # when each caller was last answered
        self.presumed_at: dict[int, float] = {}  # when the change that each caller missed is presumed known
        self.open_watches: dict[int, tuple[Deferred[Any], float, float]] = {}  # by caller: call, start and wait

    def request(self, caller: int, query: str) -> Deferred[Any]:
        call: Deferred[Any] = Deferred(lambda _: None)
        after, _, wait = query.partition("&wait_ms=")
        wait_s = int(wait or 0) / 1000
        if self.failure:
            if self.failure != "silent":
                reason = ConnectionRefusedError("refused") if self.failure == "refused" else TimeoutError("lost")
                self.clock.callLater(0.001 if self.failure == "refused" else CONNECT_TIMEOUT_S, call.errback, reason)
            return call
        if self.call_cost and self.clock.seconds() - self.answered_at.get(caller, -9.0) > 0.2:
            start = max(self.clock.seconds(), self.free_at)
            self.turns += 1
            if start - self.clock.seconds() > self.max_queue:
                self.clock.callLater(0.1, self.reply, call, 503)
                return call
            self.free_at = start + self.call_cost
            self.clock.callLater(self.free_at - self.clock.seconds(), self.answer, caller, call, after, wait_s)
        else:
            self.answer(caller, call, after, wait_s)
        return call

    def answer(self, caller: int, call: Deferred[Any], after: str, wait_s: float) -> None:
        if self.failure:
            return  # it has gone down since the call was made
        if wait_s and after == f"?after={self.version}":
            self.open_watches[caller] = (call, self.clock.seconds(), wait_s)
            self.clock.callLater(wait_s, self.wait_over, caller, call)
        else:
            self.answered_at[caller] = self.clock.seconds()
            self.clock.callLater(0.001, self.reply, call, 200)

    def wait_over(self, caller: int, call: Deferred[Any]) -> None:
        if self.open_watches.get(caller, (None,))[0] is call:
            del self.open_watches[caller]
            self.answered_at[caller] = self.clock.seconds()
            self.reply(call, 200, f'{{"index":{self.version},"snapshot":false,"endpoints":[]}}'.encode())

    def reply(self, call: Deferred[Any], code: int, body: bytes = b"") -> None:
        state = "leaving" if self.draining else "active"
        listed = f'{{"index":{self.version},"snapshot":true,"endpoints":[{ENTRY % state}]}}'
        if not call.called:
            call.callback(SimpleNamespace(code=code, body=body or listed.encode()))

    def publish(self) -> None:
        """Answer all open watches with a new version, after which all relays call in step."""
        self.version += 1
        waiting, self.open_watches = self.open_watches, {}
        for caller, (call, _, _) in waiting.items():
            self.answer(caller, call, "", 0.0)

    def silence_watches(self) -> None:
        """Stop answering the watches that are open, and have a server begin to drain."""
        now = self.clock.seconds()
        for caller, (_, start, wait_s) in self.open_watches.items():
            self.presumed_at[caller] = max(now + PRESUMED_KNOWN_S, start + wait_s + PRESUMED_KNOWN_AFTER_WAIT_S)
        self.open_watches.clear()
        self.drain()

    def drain(self) -> None:
        """Have a server begin to drain, without telling any relay."""
        self.version += 1
        self.draining = True

    def break_watches(self) -> None:
        """Break the connections of all open watches."""
        broken, self.open_watches = self.open_watches, {}
        for call, _, _ in broken.values():
            call.errback(ConnectionError("reset"))


class Fleet:
    """Relays with the same discovery, started ``step`` seconds apart; those with agents at once."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        pushed: bool,
        fleet_cost: float,
        max_queue: float,
        relays: int = RELAYS,
        step: float = 0.0,
    ) -> None:
        monkeypatch.setattr(discovery_watch, "read_body", lambda response, max_bytes: succeed(response.body))
        self.clock = Clock()
        self.clock.advance(1000)
        self.discovery = FakeDiscovery(self.clock, 0.0 if pushed else fleet_cost, max_queue, relays)
        self.learned_at: dict[int, float] = {}  # when each relay's decision module learned of the drain
        self.watches = [self.relay(number, relays, pushed, step) for number in range(relays)]

    def relay(self, me: int, relays: int, pushed: bool, step: float) -> discovery_watch.DiscoveryWatch:
        settings = api.Settings(
            classes=(api.RequestClass(aim=1, deadline=1),), siblings=RELAYS, me=me, ask_discovery=not pushed
        )
        driver = Driver(self.clock, settings, me, Figures(("c",)), lambda: int(self.clock.seconds() * 1e9))

        def report(event: api.Membership, addresses: dict[str, str]) -> None:
            if any(entry.state is api.ServerState.DRAINING for entry in event.servers):
                self.learned_at.setdefault(me, self.clock.seconds())
            driver.listed(event, addresses)

        watch = self.watch(me, pushed, report)
        driver.watch = watch.watch
        if pushed:
            watch.watch()
        else:
            self.clock.callLater(me * step, driver.listed, api.Membership(api.MembershipKind.INITIAL), {})
        return watch

    def watch(
        self, me: int, pushed: bool, report: discovery_watch.MembershipCallback
    ) -> discovery_watch.DiscoveryWatch:
        watch = discovery_watch.DiscoveryWatch(
            self.clock,
            "h",
            1,
            Catalog((), UnixTimeConverter(0)),
            report,  # type: ignore[arg-type]
            WatchTimes(pushed, ASK_WITHIN_S, DRAIN_GRACE_S, me * GOLDEN_RATIO % 1),
            self.clock.seconds,
        )
        watch.http_agent = SimpleNamespace(
            request=lambda _, url: self.discovery.request(me, url.decode().partition("members")[2])
        )
        return watch

    def reload(self, pushed: bool) -> None:
        """Have all relays change to another discovery in one moment, as after a new configuration."""
        old = self.discovery
        self.discovery = FakeDiscovery(self.clock, old.call_cost * len(self.watches), old.max_queue, len(self.watches))
        for me, watch in enumerate(self.watches):
            watch.close()
            self.watches[me] = self.watch(me, pushed, watch.report)
            self.watches[me].watch()

    def run(self, seconds: float, step: float = 0.05) -> None:
        self.clock.pump([step] * int(seconds / step))


@pytest.mark.parametrize("fleet_cost,max_queue,after", [(8.0, 3.0, 12.0), (9.0, 1.0, 21.3)])
def test_all_learn_of_a_drain_in_time_when_every_watch_goes_silent(monkeypatch, fleet_cost, max_queue, after):
    # A silent watch must be noticed before the drain binds, and all relays must not reopen theirs in one moment.
    fleet = Fleet(monkeypatch, False, fleet_cost, max_queue)
    fleet.run(after)
    assert len(fleet.discovery.open_watches) == RELAYS, "not all relays watch"
    fleet.discovery.publish()
    fleet.run(1)
    before = fleet.discovery.turns
    fleet.discovery.silence_watches()
    fleet.run(ASK_WITHIN_S + PRESUMED_KNOWN_S + 2)
    assert len(fleet.learned_at) == RELAYS
    worst = max(fleet.learned_at[caller] - presumed for caller, presumed in fleet.discovery.presumed_at.items())
    assert worst <= DRAIN_WINDOW_S, f"a relay learned of the drain {worst:.2f} s after that was presumed"
    assert fleet.discovery.turns - before <= 1.1 * RELAYS, "too many calls that took a turn at discovery"


def started_fleet(
    monkeypatch: pytest.MonkeyPatch, relays: int, fleet_cost: float, max_queue: float, step: float
) -> Fleet:
    """Return a fleet whose relays all watch, started ``step`` seconds apart so that discovery refused none."""
    fleet = Fleet(monkeypatch, False, fleet_cost, max_queue, relays, step)
    fleet.run(step * relays + fleet_cost + 3.37)
    assert len(fleet.discovery.open_watches) == relays, "not all relays watch"
    return fleet


def worst_delay_after(fleet: Fleet, moment: float) -> float:
    """Run until all relays know of the drain; return how long after the moment the last one learned of it."""
    while len(fleet.learned_at) < len(fleet.watches) and fleet.clock.seconds() < moment + 30:
        fleet.run(1)
    assert len(fleet.learned_at) == len(fleet.watches), "not all relays know of the drain"
    return max(fleet.learned_at.values()) - moment


@pytest.mark.parametrize("relays,fleet_cost,max_queue", [(6, 4.6, 3.0), (30, 6.0, 3.0), (230, 5.6, 1.0)])
def test_a_drain_is_learned_in_time_though_every_watch_went_silent_just_before(
    monkeypatch, relays, fleet_cost, max_queue
):
    # A wait must not be longer than the time after which a change is presumed known: it used to be up to 14 s.
    fleet = started_fleet(monkeypatch, relays, fleet_cost, max_queue, 1.3 * fleet_cost / relays)
    fleet.discovery.silence_watches()
    begun = fleet.clock.seconds()
    assert worst_delay_after(fleet, begun) <= PRESUMED_KNOWN_S + DRAIN_WINDOW_S


@pytest.mark.parametrize("relays,fleet_cost,max_queue", [(6, 4.6, 3.0), (40, 6.0, 1.0), (230, 6.0, 3.0)])
def test_all_learn_of_a_drain_in_time_when_all_watches_are_reset(monkeypatch, relays, fleet_cost, max_queue):
    # Relays that discovery refused as busy must not back off: with back-off the last one learned of it after 10.6 s.
    fleet = started_fleet(monkeypatch, relays, fleet_cost, max_queue, 1.3 * fleet_cost / relays)
    fleet.discovery.drain()
    fleet.discovery.break_watches()
    assert worst_delay_after(fleet, fleet.clock.seconds()) <= PRESUMED_KNOWN_S + DRAIN_WINDOW_S


@pytest.mark.parametrize("failure", ["silent", "refused", "lost"])
@pytest.mark.parametrize("away", [0.9, 8.0, 21.7])
@pytest.mark.parametrize("relays,fleet_cost", [(6, 4.6), (40, 6.0)])
def test_all_learn_of_a_drain_in_time_once_discovery_is_back(monkeypatch, relays, fleet_cost, failure, away):
    # The pause after failed calls must not be longer than the time after which a change is presumed known.
    check_learned_after_outage(monkeypatch, relays, fleet_cost, failure, away)


@pytest.mark.parametrize("failure", ["silent", "refused", "lost"])
def test_a_fleet_of_hundreds_learns_in_time_once_discovery_is_back(monkeypatch, failure):
    check_learned_after_outage(monkeypatch, RELAYS, 6.0, failure, 8.0)


def check_learned_after_outage(
    monkeypatch: pytest.MonkeyPatch, relays: int, fleet_cost: float, failure: str, outage: float
) -> None:
    """Let discovery fail for ``outage`` seconds, then have a server drain."""
    fleet = started_fleet(monkeypatch, relays, fleet_cost, 3.0, 1.3 * fleet_cost / relays)
    fleet.discovery.failure = failure
    fleet.discovery.break_watches()
    fleet.run(outage)
    fleet.discovery.failure, fleet.discovery.free_at = "", fleet.clock.seconds()
    fleet.discovery.drain()
    assert worst_delay_after(fleet, fleet.clock.seconds()) <= PRESUMED_KNOWN_S + DRAIN_WINDOW_S


@pytest.mark.parametrize("moment", ["13 s in", "in the last moment of a wait", "as a wait begins"])
@pytest.mark.parametrize("then", ["answers", "refused", "silent"])
@pytest.mark.parametrize(
    "pushed,relays,fleet_cost,max_queue", [(True, 5, 0.0, 0.0), (False, 6, 4.6, 3.0), (False, 40, 6.0, 1.0)]
)
def test_all_learn_in_time_where_watches_go_silent_late(
    monkeypatch, pushed, relays, fleet_cost, max_queue, then, moment
):
    # A silent watch must be noticed before another wait is over. The call that replaces it may be lost as well, as
    # discovery or the agent is unavailable for the next 3 s.
    fleet = (
        Fleet(monkeypatch, True, 0.0, 0.0, relays)
        if pushed
        else started_fleet(monkeypatch, relays, fleet_cost, max_queue, 1.3 * fleet_cost / relays)
    )
    fleet.run(1000 + 13 - fleet.clock.seconds() if fleet.clock.seconds() < 1013 else 13)
    if moment != "13 s in":
        _, start, wait_s = min(fleet.discovery.open_watches.values(), key=lambda call: call[1] + call[2])
        fleet.run(start + wait_s - fleet.clock.seconds() + (-0.004 if "last" in moment else 0.004), 0.001)
    assert len(fleet.discovery.open_watches) >= relays - 1, "not all relays watch"
    fleet.discovery.silence_watches()
    begun = fleet.clock.seconds()
    if then != "answers":
        fleet.discovery.failure = then
        fleet.run(3)
        fleet.discovery.failure, fleet.discovery.free_at = "", fleet.clock.seconds()
    # A missed change is presumed known 6 s after discovery had it and could be reached, so after its return. A change
    # that an agent gets at its return is presumed known at once.
    reached = begun if then == "answers" else fleet.clock.seconds()
    at_once = pushed and then != "answers"
    assert worst_delay_after(fleet, reached) <= (0.0 if at_once else PRESUMED_KNOWN_S) + DRAIN_WINDOW_S


@pytest.mark.parametrize("relays,fleet_cost,max_queue", [(6, 4.6, 3.0), (40, 6.0, 1.0), (230, 6.0, 3.0)])
def test_a_fleet_that_changes_to_another_discovery_in_one_moment_learns_of_drains_there_in_time(
    monkeypatch, relays, fleet_cost, max_queue
):
    fleet = started_fleet(monkeypatch, relays, fleet_cost, max_queue, 1.3 * fleet_cost / relays)
    fleet.reload(False)
    fleet.discovery.drain()
    assert worst_delay_after(fleet, fleet.clock.seconds()) <= PRESUMED_KNOWN_S + DRAIN_WINDOW_S


def test_a_relay_that_is_refused_as_busy_calls_again_within_a_second_however_often(monkeypatch):
    fleet = started_fleet(monkeypatch, 1, 0.5, 3.0, 1.0)
    discovery = fleet.discovery
    discovery.free_at = fleet.clock.seconds() + 25.0  # longer than any call may wait for its turn
    discovery.drain()
    discovery.break_watches()
    before = discovery.turns
    fleet.run(21.9)
    refused = discovery.turns - before
    assert 20 <= refused <= 45 and not fleet.learned_at, f"{refused} calls in 22 s of refusals"
    fleet.run(1.0)
    assert discovery.turns > before + refused, "not called again within a second"
    fleet.run(3.5)
    assert fleet.learned_at, "the drain was not learned as soon as discovery had time"


def test_the_news_of_an_agent_that_was_silent_or_away_is_learned_in_time(monkeypatch):
    # The pause before the next call must end before an agent's list is presumed known.
    fleet = Fleet(monkeypatch, True, 0.0, 0.0, relays=5)
    fleet.run(7.3)
    fleet.discovery.silence_watches()
    fleet.run(4)
    assert max(fleet.learned_at[caller] - presumed for caller, presumed in fleet.discovery.presumed_at.items()) < 0
    fleet = Fleet(monkeypatch, True, 0.0, 0.0, relays=5)
    for away in (0.7, 3.1, 8.0):
        fleet.run(3.3)
        fleet.discovery.failure, fleet.discovery.open_watches, fleet.learned_at = "silent", {}, {}
        fleet.run(away)
        fleet.discovery.failure = ""
        fleet.discovery.silence_watches()
        back = fleet.clock.seconds()
        fleet.run(PRESUMED_KNOWN_S)
        presumed_known = back if away > PRESUMED_KNOWN_S else back - away + PRESUMED_KNOWN_S
        assert max(fleet.learned_at.values()) - presumed_known <= DRAIN_WINDOW_S, f"away for {away} s"


@pytest.mark.parametrize(
    "body,logged",
    [
        (b'{"index":5,"endpoi', "truncated"),
        (b'{"index":5,"endpoints":[{"name":"s","status":"gone"}]}', "status"),
        (b'{"index":5,"endpoints":[{"name":7}]}', "endpoints"),
        (None, "did not end"),
    ],
)
def test_a_bad_answer_is_logged_and_the_list_is_kept_and_requested_again(monkeypatch, caplog, body, logged):
    # An answer that is truncated, malformed or endless is logged with its place, and the call is repeated.
    caplog.set_level(logging.WARNING)
    fleet = Fleet(monkeypatch, False, 0.01, 3.0, relays=1)
    fleet.run(3)
    watch, call = fleet.watches[0], fleet.discovery.open_watches.pop(0)[0]
    if body is None:
        monkeypatch.setattr(discovery_watch, "read_body", lambda response, max_bytes: Deferred(lambda _: None))
    fleet.discovery.silence_watches()
    fleet.discovery.reply(call, 200, body or b"x")
    monkeypatch.setattr(discovery_watch, "read_body", lambda response, max_bytes: succeed(response.body))
    assert watch.index == 1
    fleet.run(3)
    assert logged in caplog.text
    assert watch.index == 2 and 0 in fleet.learned_at


class Response:
    """An answer whose body the test delivers piece by piece."""

    def __init__(self, code: int = 200) -> None:
        self.code, self.closed = code, False
        self.body: Any = None

    def deliverBody(self, body: Any) -> None:
        self.body = body
        body.makeConnection(SimpleNamespace(loseConnection=self.close))

    def close(self) -> None:
        self.closed = True


@pytest.mark.parametrize("code", [200, 503])
def test_an_endless_answer_is_limited_in_time_and_in_bytes(caplog, code):
    # An endless list must neither fill the memory nor hold up the next call.
    clock, calls_made, reported = Clock(), [], []
    watch = discovery_watch.DiscoveryWatch(
        clock,
        "h",
        1,
        Catalog((), UnixTimeConverter(0)),
        lambda event, _: reported.append(event.kind),  # type: ignore[arg-type]
        WatchTimes(False, ASK_WITHIN_S, DRAIN_GRACE_S, 0.3),
        clock.seconds,
    )
    calls = iter([Deferred(lambda _: None) for _ in range(9)])
    watch.http_agent = SimpleNamespace(request=lambda *_: calls_made.append(call := next(calls)) or call)
    watch.watch()
    slow = Response(code)
    calls_made[0].callback(slow)
    slow.body.dataReceived(b"{")
    clock.advance(BODY_TIMEOUT_S + 0.01)
    assert slow.closed and len(calls_made) == 2, "not called again as soon as the answer timed out"
    long = Response(code)
    calls_made[1].callback(long)
    for _ in range(MAX_LIST_BYTES // 65_536 + 1):
        assert not long.closed
        long.body.dataReceived(bytes(65_536))
    assert long.closed and not long.body.parts, "parts of the answer are kept"
    while len(calls_made) == 2 and clock.seconds() < 9:
        clock.advance(0.05)
    assert len(calls_made) == 3 and reported == [], "discovery counted as lost"
    assert "exceeds the size limit of a list" in caplog.text
    whole = Response()
    calls_made[2].callback(whole)
    whole.body.dataReceived(b'{"index":3,"endpoints":[]}')
    whole.body.connectionLost(Failure(ResponseDone()))
    assert reported == [api.MembershipKind.FULL] and watch.index == 3


def test_settings_without_a_window_or_with_a_long_span_give_calls_that_can_be_answered():
    # An agent must not be called without a pause, and a wait must not be longer than discovery accepts.
    agent = WatchTimes(True, 0.0, 0.0, 0.0)
    assert agent.timeout(0.0) > 0.05 and agent.retry_pause(0.0) > 0.02
    assert max(WatchTimes(False, 600.0, 90.0, phase / 9).wait_time(7.0) for phase in range(9)) <= 60.0


def test_the_reason_of_a_failed_call_is_one_line_however_it_is_wrapped(caplog: pytest.LogCaptureFixture) -> None:
    # An ordinary broken connection must not put a traceback into the log line.
    inner = Failure(ConnectionDone("closed\ncleanly"))
    for wrapped in (inner, Failure(ConnectError(string=inner)), Failure(ResponseNeverReceived([inner]))):
        reason = discovery_watch._failure_reason(wrapped)
        assert "closed cleanly" in reason and "Failure" not in reason and "\n" not in reason
