"""The interface of a store of registers, and the store in memory."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import Protocol

from scaledeal.resume.core import register as reg
from scaledeal.resume.core.register import Credential, Progress, Register, TransitionRefusal, TransitionResult

Transition = Callable[[Register | None], TransitionResult]


class OwnerError(Exception):
    """The owner is unavailable or its data is corrupt; the text is one line for operators."""


class FullError(Exception):
    """The store has no room for another session: the client's connection is served without being resumable."""


class Owner(Protocol):
    """Keeps registers; a grant that is returned is as durable as the store is.

    Times are Unix times in ns. A call that changes registers raises OwnerError if the store is unavailable or corrupt.
    """

    name: str

    def begin(self, session: str, holder: str, expires: int, commitment: bytes = b"") -> TransitionResult:
        """Begin a session; raise FullError if there is no room."""

    def claim(self, session: str, credential: Credential, holder: str, now: int, expires: int) -> TransitionResult:
        """Transfer a session to a new holder."""

    def record(self, session: str, epoch: int, progress: Progress, expires: int) -> TransitionResult:
        """Record the holder's progress."""

    def answer(self, session: str, epoch: int) -> TransitionResult:
        """Mark a session as finally answered."""

    def get(self, session: str) -> Register | None:
        """Return a session's register, or None for an unknown session."""

    def expire(self, now: int) -> int:
        """Delete the sessions that have expired and return how many they were."""

    def sessions(self) -> Iterator[Register]:
        """Return all registers."""


class TransitionStore:
    """The four transitions of an owner, in terms of ``apply``, which a subclass provides."""

    def apply(self, session: str, transition: Transition, needs_room: bool = False) -> TransitionResult:
        """Apply a transition to a session's register; ``needs_room`` is set where it may add a session."""
        raise NotImplementedError

    def begin(self, session: str, holder: str, expires: int, commitment: bytes = b"") -> TransitionResult:
        """Begin a session; raise FullError if there is no room."""
        return self.apply(session, lambda register: reg.begin(register, session, holder, expires, commitment), True)

    def claim(self, session: str, credential: Credential, holder: str, now: int, expires: int) -> TransitionResult:
        """Transfer a session to a new holder."""
        return self.apply(session, lambda register: reg.claim(register, credential, holder, now, expires))

    def record(self, session: str, epoch: int, progress: Progress, expires: int) -> TransitionResult:
        """Record the holder's progress."""
        return self.apply(session, lambda register: reg.record(register, epoch, progress, expires))

    def answer(self, session: str, epoch: int) -> TransitionResult:
        """Mark a session as finally answered."""
        return self.apply(session, lambda register: reg.answer(register, epoch))


class MemoryStore(TransitionStore):
    """Registers in memory: a restart loses them, and clients that resume are told so and begin new sessions."""

    def __init__(self, name: str, max_sessions: int) -> None:
        self.name = name
        self.max_sessions = max_sessions
        self._registers: OrderedDict[str, Register] = OrderedDict()

    def apply(self, session: str, transition: Transition, needs_room: bool = False) -> TransitionResult:
        """Apply a transition; raise FullError if it adds a session and there is no room."""
        before = self._registers.get(session)
        if needs_room and before is None and len(self._registers) >= self.max_sessions and not self._evict_answered():
            raise FullError(f"the store is full with {self.max_sessions} sessions")
        after = transition(before)
        if isinstance(after, Register):
            self._registers[session] = after
        return after

    def _evict_answered(self) -> bool:
        """Delete the oldest answered session, which can only be refused; return False if there is none."""
        # A session that is not answered stays: its client would lose it to a newer one.
        oldest = next((session for session, register in self._registers.items() if register.answered), None)
        if oldest is None:
            return False
        del self._registers[oldest]
        return True

    def get(self, session: str) -> Register | None:
        """Return a session's register, or None for an unknown session."""
        return self._registers.get(session)

    def expire(self, now: int) -> int:
        """Delete the sessions that have expired and return how many they were."""
        expired = [session for session, register in self._registers.items() if register.expires <= now]
        for session in expired:
            del self._registers[session]
        return len(expired)

    def sessions(self) -> Iterator[Register]:
        """Return all registers."""
        return iter(list(self._registers.values()))


__all__ = [
    "FullError",
    "MemoryStore",
    "Owner",
    "OwnerError",
    "Transition",
    "TransitionRefusal",
    "TransitionResult",
    "TransitionStore",
]
