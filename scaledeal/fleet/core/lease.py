"""Leases: who may do a duty, for how long, and the token by which what it touches refuses whoever is late.

Two parts. The *table* is what a small group of relays agrees on, one command after another: it holds no time at all,
as a replicated log that reads clocks would not be the same everywhere. A *seat* is one relay's part in one duty; it
counts on its own clock alone.

The law. A holder counts ``span`` from the moment at which it *sent* what gave or renewed its lease. A contender counts
``patience`` from the moment at which it *learned* of that, which is never earlier, and then takes the lease by naming
the grant and the renewal that it saw: where the holder renewed meanwhile, the table refuses. With clocks that run at
most ``drift`` fast or slow, a holder's ``span`` is over after ``span / (1 - drift)``, and a contender's patience
not before ``patience / (1 + drift)``: equal, by the choice of ``patience``. Offsets between clocks do not matter.

A process that stalls between looking at its lease and acting can not be kept from acting late. So each grant has a
*fencing token*, higher than any before it; a holder passes it with each act, and a ``Fence`` at what the act touches
refuses one that is lower than the highest it has seen. (Kleppmann, How to do distributed locking, 2016; Gray and
Cheriton, Leases, 1989.)

    state of a seat          event                          next
    idle                     no lease, or patience is over  asks Take
    asking                   learned: granted to it         holds, until sent + span
    asking                   learned: granted to another    idle, patience counted anew
    holds                    a third of span since it asked asks Renew, holds
    holds                    sent + span                    idle; its token is no longer its own
    holds                    it drains                      asks Release, idle for good
"""

from __future__ import annotations

import msgspec

RENEWALS = 3  # times that a holder asks to renew within a span


class Grant(msgspec.Struct, frozen=True):
    """A duty's lease as agreed on; ``holder`` is empty where it was given back."""

    duty: str
    holder: str = ""  # a relay's name and incarnation: a process that starts again is another holder
    token: int = 0  # rises by one with each grant
    beat: int = 0  # renewals of this grant


class Take(msgspec.Struct, frozen=True, tag="take"):
    """Take a duty whose grant is still the one named: lapsed as the taker counts, given back, or never granted."""

    duty: str
    by: str
    token: int
    beat: int


class Renew(msgspec.Struct, frozen=True, tag="renew"):
    """Renew a grant that was renewed ``beat`` times so far."""

    duty: str
    by: str
    token: int
    beat: int


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Give a grant back."""

    duty: str
    by: str
    token: int


Command = Take | Renew | Release
Table = dict[str, Grant]  # by duty


def after(grant: Grant, command: Command) -> Grant | None:
    """Return what a command makes of a duty's grant, or None where it is refused.

    A command that comes twice is refused the second time.
    """
    if isinstance(command, Take):
        same = (grant.token, grant.beat) == (command.token, command.beat)
        return Grant(grant.duty, command.by, grant.token + 1) if same else None
    if grant.holder != command.by or grant.token != command.token:
        return None
    if isinstance(command, Release):
        return Grant(grant.duty, "", grant.token, grant.beat + 1)
    return msgspec.structs.replace(grant, beat=grant.beat + 1) if grant.beat == command.beat else None


def apply(table: Table, command: Command) -> Grant | None:
    """Change a table in place by a command; return the grant that it made, or None where it is refused."""
    made = after(table.get(command.duty, Grant(command.duty)), command)
    if made is not None:
        table[command.duty] = made
    return made


class Timing(msgspec.Struct, frozen=True):
    """How long a lease lasts, in ns, and by what share a clock may run fast or slow."""

    span: int
    drift: float = 0.01

    def __post_init__(self) -> None:
        """Refuse what can not be counted with."""
        if self.span < 1 or not 0 <= self.drift < 1:
            raise ValueError("span: must be above 0, and drift from 0 to below 1")

    @property
    def patience(self) -> int:
        """Return the ns after which a contender may be sure that a span is over."""
        return -int(-self.span * (1 + self.drift) // (1 - self.drift))


class Seat:
    """One relay's part in one duty. Moments are ns on the relay's own clock, which never goes back."""

    def __init__(self, duty: str, name: str, timing: Timing, rank: int = 0) -> None:
        """``rank``: this relay's place among those that contend; later ones wait a little longer, not to collide."""
        self.duty, self.name, self.timing = duty, name, timing
        self.grant = Grant(duty)
        self.learned_at: int | None = None  # none: nothing was heard of the table yet
        self.holds_until = 0
        self.asked: dict[tuple[int, int], int] = {}  # grants that it asked for, by token and beat, and when
        self.asked_at = -timing.span
        self.leaving = False
        self._stagger = rank * timing.span // 20

    def learned(self, now: int, grant: Grant) -> None:
        """Hear what the table holds; what was heard before, or later than something newer, changes nothing."""
        if self.learned_at is not None and (grant.token, grant.beat) <= (self.grant.token, self.grant.beat):
            return
        sent = self.asked.pop((grant.token, grant.beat), None)
        self.grant, self.learned_at = grant, now
        self.asked = {key: at for key, at in self.asked.items() if key > (grant.token, grant.beat)}
        if grant.holder != self.name:
            self.holds_until = 0
        elif sent is not None:
            # Guards against a grant that it never asked for: its clock knows no moment to count from.
            self.holds_until = sent + self.timing.span

    def token(self, now: int) -> int:
        """Return the fencing token while it holds the duty, else 0."""
        return self.grant.token if now < self.holds_until else 0

    def due(self, now: int) -> Command | None:
        """Return what is to be proposed now, if anything. To be called now and again, and before each act."""
        if self.learned_at is None:
            return None
        if self.token(now):
            if self.leaving:
                self.holds_until = 0  # it does not act any more, whether the table hears of it or not
                return Release(self.duty, self.name, self.grant.token)
            return self._renewal(now)
        if self.leaving or not self._free(now) or now - self.asked_at < self.timing.span // RENEWALS:
            return None
        return self._asks(now, Take(self.duty, self.name, self.grant.token, self.grant.beat), self.grant.token + 1, 0)

    def leave(self) -> None:
        """Drain: give the duty back at the next call of ``due``, and contend no more."""
        self.leaving = True

    def _renewal(self, now: int) -> Command | None:
        if now - self.asked_at < self.timing.span // RENEWALS:
            return None
        grant = self.grant
        return self._asks(now, Renew(self.duty, self.name, grant.token, grant.beat), grant.token, grant.beat + 1)

    def _free(self, now: int) -> bool:
        assert self.learned_at is not None
        wait = self.timing.patience if self.grant.holder else 0
        return now - self.learned_at >= wait + self._stagger

    def _asks(self, now: int, command: Command, token: int, beat: int) -> Command:
        # Guards against counting from a repeat: the first may be the one that is agreed on.
        self.asked.setdefault((token, beat), now)
        self.asked_at = now
        return command


class Fence:
    """What stands before something that acts touch, and lets only the newest holder through."""

    def __init__(self) -> None:
        self.highest = 0
        self.refused = 0

    def admits(self, token: int) -> bool:
        """Tell whether an act with this token may go through; a higher one shuts out all before it."""
        if token < max(1, self.highest):
            self.refused += 1
            return False
        self.highest = token
        return True
