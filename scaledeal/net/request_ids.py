"""The ids of open requests, each of which may be open once at all processes of one relay together.

While a new version takes over, two processes of a relay or more serve clients. The one that was there first decides: a
later one asks the process that it takes over from before it begins a request, and that process asks its own predecessor
in turn. An id is free again once its request is over and no attempt of it is under way; not if it may have run and its
client left, as it would run a second time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum
from itertools import count
from typing import Protocol

import msgspec

from scaledeal.net.handover_messages import ClaimDecided, ClaimId, ReleaseId
from scaledeal.net.ports import Reactor, Timer
from scaledeal.net.used_ids import UsedIds

CLAIM_TIMEOUT_S = 0.5  # for the old process to answer; an answer so long after a deadline is still in time
MAX_LATE_CLAIMS = 256  # that the old process has not answered; while there are as many, it is asked no further


class ClaimResult(Enum):
    """The answer to a claim of an id."""

    GRANTED = "granted"
    IN_USE = "in use"
    UNDECIDED = "undecided"  # the old process did not answer in time


Decide = Callable[[ClaimResult], None]


class Authority(Protocol):
    """The process that decides on claims, as a later process sees it."""

    def ask(self, request_id: str, decide: Decide, settle: Callable[[], None]) -> None:
        """Ask for an id; ``decide`` is called once, at once or later.

        ``settle`` is called if the answer comes after all where ``decide`` was told that it did not.
        """

    def release(self, request_id: str) -> None:
        """Tell that no request or claim holds this id here; if that is known already it is ignored."""

    def release_used(self, request_id: str) -> None:
        """Tell the same of an id that must not be used again."""


class RequestIds:
    """The ids that are open at this process, and at the processes that take over from it.

    An id is held by each request or claim that has it. There are more than one where a claim will be refused, and the
    connection with that id is handed over before the answer comes.
    """

    def __init__(self) -> None:
        self.authority: Authority | None = None  # while a process that this one takes over from can be asked
        self.used = UsedIds()  # of which none is granted again
        self.undecided = 0  # claims of this process's own clients that wait for an answer
        self._own: Counter[str] = Counter()
        self._successors: dict[str, set[int]] = {}  # the numbers of the claims and connections that hold an id there
        self._numbers = count()

    def is_open(self, request_id: str) -> bool:
        """Return whether a request with this id is open here, or at a process that takes over from this one."""
        return request_id in self._own or request_id in self._successors

    def open_here(self) -> set[str]:
        """Return the ids that are open at this process."""
        return set(self._own)

    def may_open(self, request_id: str) -> bool:
        """Return whether a request with this id may begin, as far as this process knows."""
        return not self.is_open(request_id) and request_id not in self.used

    def claim(self, request_id: str, decide: Decide) -> None:
        """Claim an id for a client of this process; ``decide`` is called once, at once or later."""
        if not self.may_open(request_id):
            decide(ClaimResult.IN_USE)
            return
        self._own[request_id] += 1
        if self.authority is None:
            decide(ClaimResult.GRANTED)
            return
        self.undecided += 1
        self.authority.ask(
            request_id,
            lambda result: self._decided(request_id, result, decide),
            lambda: self._release_if_free(request_id),
        )

    def adopt(self, request_id: str) -> None:
        """Record the id of a connection that was handed over to this process."""
        self._own[request_id] += 1

    def release(self, request_id: str, used: bool = False) -> None:
        """Free an id of this process, whose request is over; an id that is not open here is ignored.

        One that is ``used`` is not granted again.
        """
        if request_id in self._own:
            if used:
                self.used.add(request_id)
            self._discard_own(request_id)
            self._release_if_free(request_id)

    # For the process that takes over from this one

    def claim_for_successor(self, request_id: str, decide: Decide) -> None:
        """Claim an id for the process that takes over; ``decide`` is called once, at once or later."""
        if not self.may_open(request_id):
            decide(ClaimResult.IN_USE)
            return
        number = self._hold_for_successor(request_id)
        if self.authority is None:
            decide(ClaimResult.GRANTED)
            return
        self.authority.ask(
            request_id,
            lambda result: self._decided_for_successor(request_id, number, result, decide),
            lambda: self._release_if_free(request_id),
        )

    def hand_over(self, request_id: str) -> None:
        """Record that the process that takes over has the connection with this id; this process releases it itself."""
        self._hold_for_successor(request_id)

    def release_for_successor(self, request_id: str) -> None:
        """Free an id that the process that takes over does not hold any more; one that it did not hold is ignored."""
        if self._successors.pop(request_id, None):
            self._release_if_free(request_id)

    def successor_lost(self) -> None:
        """Free all ids of the process that took over, as it is gone with its connections."""
        for request_id in list(self._successors):
            self.release_for_successor(request_id)

    # Internal methods

    def _hold_for_successor(self, request_id: str) -> int:
        number = next(self._numbers)
        self._successors.setdefault(request_id, set()).add(number)
        return number

    def _decided(self, request_id: str, result: ClaimResult, decide: Decide) -> None:
        self.undecided -= 1
        if result is not ClaimResult.GRANTED:
            self._discard_own(request_id)
        if result is ClaimResult.IN_USE:
            # A connection with this id may have been handed over, and have ended, while the claim waited.
            self._release_if_free(request_id)
        decide(result)

    def _decided_for_successor(self, request_id: str, number: int, result: ClaimResult, decide: Decide) -> None:
        held = self._successors.get(request_id, set())
        if result is not ClaimResult.GRANTED and number in held:
            held.discard(number)
            if not held:
                del self._successors[request_id]
        if result is not ClaimResult.UNDECIDED:
            self._release_if_free(request_id)  # also one that was granted after the successor had given it up
        decide(result)

    def _discard_own(self, request_id: str) -> None:
        self._own[request_id] -= 1
        if not self._own[request_id]:
            del self._own[request_id]

    def _release_if_free(self, request_id: str) -> None:
        if self.authority is None or self.is_open(request_id):
            return
        if request_id in self.used:
            self.authority.release_used(request_id)
        else:
            self.authority.release(request_id)


class _Claim(msgspec.Struct, frozen=True):
    """A claim that waits for its answer."""

    decide: Decide
    settle: Callable[[], None]
    timer: Timer


class RemoteAuthority:
    """Asks the process that this one takes over from, over the connection between the two."""

    def __init__(self, reactor: Reactor, send: Callable[[ClaimId | ReleaseId], None]) -> None:
        self.reactor = reactor
        self.send = send
        self._claims = 0
        self._waiting: dict[int, _Claim] = {}  # by number
        self._late: dict[int, Callable[[], None]] = {}  # how to settle the claims that timed out, by number

    def ask(self, request_id: str, decide: Decide, settle: Callable[[], None]) -> None:
        """Ask for an id; ``decide`` is called once the answer has come or is late, ``settle`` when a late one comes."""
        if len(self._late) >= MAX_LATE_CLAIMS:
            # It is stopped or hung, and what is sent to it would only wait in memory.
            decide(ClaimResult.UNDECIDED)
            return
        self._claims += 1
        number = self._claims
        timer = self.reactor.callLater(CLAIM_TIMEOUT_S, self._timed_out, number)
        self._waiting[number] = _Claim(decide, settle, timer)
        self.send(ClaimId(number, request_id))

    def release(self, request_id: str) -> None:
        """Tell the old process that no request or claim holds this id here."""
        self.send(ReleaseId(request_id))

    def release_used(self, request_id: str) -> None:
        """Tell the old process the same of an id that must not be used again."""
        self.send(ReleaseId(request_id, used=True))

    def answered(self, message: ClaimDecided) -> None:
        """Handle the answer to a claim, which may have timed out."""
        if claim := self._waiting.pop(message.number, None):
            claim.timer.cancel()
            claim.decide(ClaimResult.GRANTED if message.granted else ClaimResult.IN_USE)
        elif settle := self._late.pop(message.number, None):
            settle()

    def lost(self) -> None:
        """Grant all claims that wait: the process that was asked is gone with its requests."""
        waiting, self._waiting = self._waiting, {}
        self._late.clear()
        for claim in waiting.values():
            claim.timer.cancel()
            claim.decide(ClaimResult.GRANTED)

    def _timed_out(self, number: int) -> None:
        claim = self._waiting.pop(number)
        self._late[number] = claim.settle
        claim.decide(ClaimResult.UNDECIDED)
