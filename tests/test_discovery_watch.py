"""What a fleet hears of a drain, and when: 230 relays and one discovery that takes calls in turn, in simulated time."""

from __future__ import annotations

import logging
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from scaledeal import interface as api
from scaledeal.net import discovery_watch
from scaledeal.net.driver import Driver
from scaledeal.net.figures import Figures
from scaledeal.net.roster import Calendar
from scaledeal.net.watch_times import SILENT_TOLD, WAIT_TOLD, WatchTimes

RELAYS, ASK_WITHIN, GRACE = 230, 10.0, 1.0
WINDOW = GRACE + 0.05  # the rule on sockets, in seconds
ENTRY = '{"name":"s","address":"127.0.0.1:1","status":"%s"}'


class Discovery:
    """One service: a new watch takes its turn, a watch that goes on costs nothing; or an agent, free and at once."""

    def __init__(self, clock: Clock, all_call: float, queue: float) -> None:
        self.clock, self.cost, self.queue = clock, all_call / RELAYS, queue
        self.free, self.version, self.down, self.drains, self.turns = 0.0, 1, False, False, 0
        self.heard: dict[int, float] = {}  # when each caller was last answered
        self.told: dict[int, float] = {}  # when what each caller missed counts as told
        self.open: dict[int, tuple[Deferred[Any], float, float]] = {}  # each open watch, its start and wait
        self.bodies: dict[str, bytes] = {}  # what is answered in place of the list

    def request(self, who: int, query: str) -> Deferred[Any]:
        call: Deferred[Any] = Deferred(lambda _: None)
        after, _, wait = query.partition("&wait_ms=")
        waits = int(wait or 0) / 1000
        if self.down:
            return call  # nothing comes of it
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
            self.told[who] = max(now + SILENT_TOLD, start + waits + WAIT_TOLD)
        self.open.clear()
        self.version += 1
        self.drains = True


class Fleet:
    def __init__(self, monkeypatch: pytest.MonkeyPatch, pushed: bool, all_call: float, queue: float,
                 relays: int = RELAYS) -> None:
        monkeypatch.setattr(discovery_watch, "readBody", lambda response: succeed(response.body))
        self.clock = Clock()
        self.clock.advance(1000)
        self.discovery = Discovery(self.clock, 0.0 if pushed else all_call, queue)
        self.late: dict[int, float] = {}  # when each relay's module was told of the drain
        self.farms = [self.relay(number, pushed) for number in range(relays)]

    def relay(self, me: int, pushed: bool) -> discovery_watch.DiscoveryWatch:
        settings = api.Settings(classes=(api.RequestClass(aim=1, deadline=1),), siblings=RELAYS, me=me,
                                ask_discovery=not pushed)
        driver = Driver(self.clock, settings, me, Figures(("c",)), lambda: int(self.clock.seconds() * 1e9))

        def listed(event: api.Membership, addresses: dict[str, str]) -> None:
            if any(entry.state is api.ServerState.DRAINING for entry in event.servers):
                self.late.setdefault(me, self.clock.seconds())
            driver.listed(event, addresses)

        made = discovery_watch.DiscoveryWatch(self.clock, "h", 1, (), Calendar(0, 0), listed,  # type: ignore[arg-type]
                         WatchTimes(pushed, ASK_WITHIN, GRACE, me / RELAYS))
        made.agent = SimpleNamespace(request=lambda _, url: self.discovery.request(
            me, url.decode().partition("members")[2]))
        driver.watch = made.watch
        made.watch() if pushed else driver.listed(api.Membership(api.MembershipKind.INITIAL), {})
        return made

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
    fleet.run(ASK_WITHIN + SILENT_TOLD + 2)
    assert len(fleet.late) == RELAYS
    worst = max(fleet.late[who] - told for who, told in fleet.discovery.told.items())
    assert worst <= WINDOW, f"a relay heard {worst:.2f} s after the news counted as told"
    assert fleet.discovery.turns - before <= 1.1 * RELAYS, "calls of the fleet that took a turn at discovery"


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
        fleet.discovery.down, fleet.discovery.open, fleet.late = True, {}, {}
        fleet.run(away)
        fleet.discovery.down = False
        fleet.discovery.silence()
        back = fleet.clock.seconds()
        fleet.run(SILENT_TOLD)
        first_told = back if away > SILENT_TOLD else back - away + SILENT_TOLD
        assert max(fleet.late.values()) - first_told <= WINDOW, f"away for {away} s"


@pytest.mark.parametrize("body,why", [
    (b'{"index":5,"endpoi', "truncated"), (b'{"index":5,"endpoints":[{"name":"s","status":"gone"}]}', "status"),
    (b'{"index":5,"endpoints":[{"name":7}]}', "endpoints"), (None, "did not end")])
def test_a_bad_answer_is_told_and_the_list_stays_and_is_asked_for_again(monkeypatch, caplog, body, why):
    # Guards against an answer cut short, malformed or without an end: told with its place, and asked for again.
    caplog.set_level(logging.WARNING)
    fleet = Fleet(monkeypatch, False, 2.0, 3.0, relays=1)
    fleet.run(3)
    watch, call = fleet.farms[0], fleet.discovery.open.pop(0)[0]
    if body is None:
        monkeypatch.setattr(discovery_watch, "readBody", lambda response: Deferred(lambda _: None))
    fleet.discovery.silence()
    fleet.discovery.reply(call, 200, body or b"x")
    monkeypatch.setattr(discovery_watch, "readBody", lambda response: succeed(response.body))
    assert watch.index == 1
    fleet.run(3)
    assert why in caplog.text
    assert watch.index == 2 and 0 in fleet.late


def test_settings_without_a_window_or_with_a_long_span_give_calls_that_can_be_answered():
    # Guards against an agent that is asked without a pause, and against waits that discovery does not take.
    agent = WatchTimes(True, 0.0, 0.0, 0.0)
    assert agent.patience(0.0) > 0.05 and agent.pause() > 0.02
    assert max(WatchTimes(False, 600.0, 1.0, place / 9).wait() for place in range(9)) == 60.0
