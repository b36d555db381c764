"""Leases: which relay may perform a duty, for how long, and the fencing token that shuts out a late holder.

There are two parts. The *table* is the state that a small group of relays agrees on, one command after another. It
holds no times, because replicas of a log that read their own clocks would diverge. A *participant* is one relay's
part in one duty; it measures time on its own clock only.

Safety. A holder counts ``duration`` from the moment at which it *sent* the command that granted or renewed its lease.
A contender counts ``takeover_wait`` from the moment at which it *observed* that grant, which is never earlier. It then
takes the lease with a command that names the grant and the renewal that it observed; if the holder has renewed in the
meantime, the table refuses the command. With clocks that run at most ``drift`` fast or slow, a holder's ``duration``
has ended after ``duration / (1 - drift)``, and a contender's wait does not end before ``takeover_wait / (1 + drift)``;
``takeover_wait`` is chosen so that the two are equal. Offsets between clocks do not matter.

A process that stalls between checking its lease and acting can't be prevented from acting late. Each grant therefore
has a *fencing token*, higher than any before it. A holder passes it with each act, and a ``Fence`` at the resource
refuses a token that is lower than the highest it has seen. (Kleppmann, How to do distributed locking, 2016; Gray and
Cheriton, Leases, 1989.)

    state of a participant   event                                   next
    idle                     no lease, or takeover_wait is over      sends Take
    waiting                  observed: granted to this relay         holds, until sent + duration
    waiting                  observed: granted to another            idle, takeover_wait starts again
    holds                    a third of duration since last request  sends Renew, holds
    holds                    sent + duration                         idle; its token is no longer valid
    holds                    drains                                  sends Release, idle for good
"""

from __future__ import annotations

import msgspec

REQUESTS_PER_DURATION = 3  # requests that a holder or contender may send within a lease's duration


class Grant(msgspec.Struct, frozen=True):
    """The agreed state of a duty's lease; ``holder`` is empty if the lease was released or never granted."""

    duty: str
    holder: str = ""  # a relay's name and incarnation: a process that restarts is another holder
    token: int = 0  # fencing token; rises by one with each grant
    renewals: int = msgspec.field(name="beat", default=0)  # of this grant


class Take(msgspec.Struct, frozen=True, tag="take"):
    """Take a lease if its grant is still the one named: expired by the taker's clock, released, or never granted."""

    duty: str
    by: str
    token: int
    renewals: int = msgspec.field(name="beat")


class Renew(msgspec.Struct, frozen=True, tag="renew"):
    """Renew a grant that has been renewed ``renewals`` times so far."""

    duty: str
    by: str
    token: int
    renewals: int = msgspec.field(name="beat")


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Release a grant before it expires."""

    duty: str
    by: str
    token: int


Command = Take | Renew | Release
Table = dict[str, Grant]  # by duty


def next_grant(grant: Grant, command: Command) -> Grant | None:
    """Return the grant that results from a command, or None if the command is refused.

    A command that is delivered twice is refused the second time.
    """
    if isinstance(command, Take):
        unchanged = (grant.token, grant.renewals) == (command.token, command.renewals)
        return Grant(grant.duty, command.by, grant.token + 1) if unchanged else None
    if grant.holder != command.by or grant.token != command.token:
        return None
    if isinstance(command, Release):
        return Grant(grant.duty, "", grant.token, grant.renewals + 1)
    return msgspec.structs.replace(grant, renewals=grant.renewals + 1) if grant.renewals == command.renewals else None


def apply(table: Table, command: Command) -> Grant | None:
    """Apply a command to a table in place; return the resulting grant, or None if the command is refused."""
    grant = next_grant(table.get(command.duty, Grant(command.duty)), command)
    if grant is not None:
        table[command.duty] = grant
    return grant


class Timing(msgspec.Struct, frozen=True):
    """The duration of a lease, in ns, and the share by which a clock may run fast or slow."""

    duration: int
    drift: float = 0.01

    def __post_init__(self) -> None:
        """Raise ValueError for values out of range."""
        if self.duration < 1 or not 0 <= self.drift < 1:
            raise ValueError("duration: must be above 0; drift: must be at least 0 and below 1")

    @property
    def takeover_wait(self) -> int:
        """Return the ns after which a contender may rely on a lease's having ended at its holder."""
        return -int(-self.duration * (1 + self.drift) // (1 - self.drift))


class LeaseParticipant:
    """One relay's part in one duty. Times are ns on the relay's own clock, which must be monotonic."""

    def __init__(self, duty: str, name: str, timing: Timing, rank: int = 0) -> None:
        """``rank``: this relay's place among the contenders; higher ranks wait slightly longer, to avoid collisions."""
        self.duty, self.name, self.timing = duty, name, timing
        self.grant = Grant(duty)
        self.observed_at: int | None = None  # None: no state of the table has been observed yet
        self.holds_until = 0
        self.requested: dict[tuple[int, int], int] = {}  # when it first requested a grant, by token and renewals
        self.last_request_at = -timing.duration
        self.draining = False
        self._stagger = rank * timing.duration // 20

    def observe(self, now: int, grant: Grant) -> None:
        """Process a grant of the table; one that is not newer than the last observed is ignored."""
        if self.observed_at is not None and (grant.token, grant.renewals) <= (self.grant.token, self.grant.renewals):
            return
        sent = self.requested.pop((grant.token, grant.renewals), None)
        self.grant, self.observed_at = grant, now
        self.requested = {key: at for key, at in self.requested.items() if key > (grant.token, grant.renewals)}
        if grant.holder != self.name:
            self.holds_until = 0
        elif sent is not None:
            # A grant that this process did not request does not make it the holder: there is no time of sending on
            # its clock from which to count the duration.
            self.holds_until = sent + self.timing.duration

    def token(self, now: int) -> int:
        """Return the fencing token while this relay holds the duty, else 0."""
        return self.grant.token if now < self.holds_until else 0

    def next_command(self, now: int) -> Command | None:
        """Return the command to propose now, if any. Call it periodically, and before each act."""
        if self.observed_at is None:
            return None
        if self.token(now):
            if self.draining:
                self.holds_until = 0  # stops acting now, whether or not the release reaches the table
                return Release(self.duty, self.name, self.grant.token)
            return self._renew_if_due(now)
        if (
            self.draining
            or not self._may_take(now)
            or now - self.last_request_at < self.timing.duration // REQUESTS_PER_DURATION
        ):
            return None
        return self._request(
            now, Take(self.duty, self.name, self.grant.token, self.grant.renewals), self.grant.token + 1, 0
        )

    def drain(self) -> None:
        """Release the duty at the next call of ``next_command``, and never contend again."""
        self.draining = True

    def _renew_if_due(self, now: int) -> Command | None:
        if now - self.last_request_at < self.timing.duration // REQUESTS_PER_DURATION:
            return None
        grant = self.grant
        return self._request(
            now, Renew(self.duty, self.name, grant.token, grant.renewals), grant.token, grant.renewals + 1
        )

    def _may_take(self, now: int) -> bool:
        assert self.observed_at is not None
        wait = self.timing.takeover_wait if self.grant.holder else 0
        return now - self.observed_at >= wait + self._stagger

    def _request(self, now: int, command: Command, token: int, renewals: int) -> Command:
        # The duration counts from the first request: a repeat is sent later, and the first may be the one agreed on.
        self.requested.setdefault((token, renewals), now)
        self.last_request_at = now
        return command


class Fence:
    """Checks fencing tokens in front of a resource; admits only the newest holder that it has seen."""

    def __init__(self) -> None:
        self.highest = 0
        self.refused = 0

    def admits(self, token: int) -> bool:
        """Return whether an act with this token may proceed; once admitted, a token shuts out all lower ones."""
        if token < max(1, self.highest):
            self.refused += 1
            return False
        self.highest = token
        return True
