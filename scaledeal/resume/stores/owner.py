"""What a store of registers offers, and the one that is in memory."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import Protocol

from scaledeal.resume.core import register as reg
from scaledeal.resume.core.register import Credential, Progress, Register, TransitionRefusal, TransitionResult

Step = Callable[[Register | None], TransitionResult]


class OwnerError(Exception):
    """The owner can't be asked now, or can't be believed; the text is one plain line."""


class FullError(Exception):
    """There is no room for another session: the client's connection goes on without being resumable."""


class Owner(Protocol):
    """Keeps registers; a grant that is returned is as durable as the store is."""

    name: str

    def begin(self, session: str, holder: str, expires: int, commitment: bytes = b"") -> TransitionResult:
        """Begin a session; raise FullError where there is no room."""

    def claim(self, session: str, shown: Credential, holder: str, now: int, expires: int) -> TransitionResult:
        """Hand a session to a new holder."""

    def record(self, session: str, epoch: int, progress: Progress, expires: int) -> TransitionResult:
        """Take what the holder has done."""

    def answer(self, session: str, epoch: int) -> TransitionResult:
        """Give the final answer."""

    def get(self, session: str) -> Register | None:
        """Return a session's register."""

    def expire(self, now: int) -> int:
        """Forget the sessions whose time is up; return how many."""

    def sessions(self) -> Iterator[Register]:
        """Return all registers."""


class Steps:
    """The four transitions, for a store that can apply one."""

    def apply(self, session: str, step: Step, new: bool = False) -> TransitionResult:
        """Apply a transition to a session's register; ``new`` asks for room."""
        raise NotImplementedError

    def begin(self, session: str, holder: str, expires: int, commitment: bytes = b"") -> TransitionResult:
        """Begin a session."""
        return self.apply(session, lambda old: reg.begin(old, session, holder, expires, commitment), True)

    def claim(self, session: str, shown: Credential, holder: str, now: int, expires: int) -> TransitionResult:
        """Hand a session to a new holder."""
        return self.apply(session, lambda old: reg.claim(old, shown, holder, now, expires))

    def record(self, session: str, epoch: int, progress: Progress, expires: int) -> TransitionResult:
        """Take what the holder has done."""
        return self.apply(session, lambda old: reg.record(old, epoch, progress, expires))

    def answer(self, session: str, epoch: int) -> TransitionResult:
        """Give the final answer."""
        return self.apply(session, lambda old: reg.answer(old, epoch))


class Memory(Steps):
    """Registers in memory: a restart forgets all, and their clients begin anew, told so."""

    def __init__(self, name: str, most: int) -> None:
        self.name = name
        self.most = most
        self._kept: OrderedDict[str, Register] = OrderedDict()

    def apply(self, session: str, step: Step, new: bool = False) -> TransitionResult:
        """Apply a transition."""
        before = self._kept.get(session)
        if new and before is None and len(self._kept) >= self.most and not self._give_way():
            raise FullError(f"{self.most} sessions are kept")
        after = step(before)
        if isinstance(after, Register):
            self._kept[session] = after
        return after

    def _give_way(self) -> bool:
        """Forget the oldest answered session: nothing can be done with it but to be refused."""
        # Guards against a living session that is forgotten for a newer one.
        oldest = next((session for session, kept in self._kept.items() if kept.answered), None)
        if oldest is None:
            return False
        del self._kept[oldest]
        return True

    def get(self, session: str) -> Register | None:
        """Return a session's register."""
        return self._kept.get(session)

    def expire(self, now: int) -> int:
        """Forget the sessions whose time is up."""
        late = [session for session, kept in self._kept.items() if kept.expires <= now]
        for session in late:
            del self._kept[session]
        return len(late)

    def sessions(self) -> Iterator[Register]:
        """Return all registers."""
        return iter(list(self._kept.values()))


__all__ = ["FullError", "Memory", "TransitionResult", "Owner", "OwnerError", "Step", "Steps", "TransitionRefusal"]
