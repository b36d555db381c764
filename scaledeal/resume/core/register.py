"""The register of one session: who holds it, what is applied, whether it is answered. Pure; times in ns.

Theory of operation. A register changes by four transitions only, each granted or refused by what it holds:

    begin    there is none yet                                      epoch 1
    claim    its credential fits, not answered, not expired         epoch + 1, whoever held it is fenced
    record   the epoch is the caller's own                          applied, state and outbox move on together
    answer   the epoch is the caller's own, not answered            answered, for good

A credential is the epoch of a token and the openings of up to two commitments. It fits the present epoch by the opening
of its commitment. It also fits the epoch before by the opening of the *present* commitment: a client whose resume was
granted but that never heard so presents its old token again, and proves with a secret that it has never sent that it
is the one. Each secret opens one epoch, so whatever has been seen on the wire is spent.

A refused transition changes nothing. Stores keep registers and must make a grant durable before they tell it; the
model checker (tests/test_resume_model.py) walks these same functions with crashes, delays and repeats between.
"""

from __future__ import annotations

from enum import Enum
from hmac import compare_digest

import msgspec

MOST_STATE = 2048  # bytes of a server's state
MOST_OUTBOX = 64  # lines of a server's that its client has not acknowledged
MOST_LINE = 4096  # bytes of a line


class Why(Enum):
    """Why a transition is refused; the words that a client is told."""

    HOLDER = "holder"  # the epoch would fit, but not who presents it
    STALE = "stale"  # another holds it, or has held it since
    ANSWERED = "answered"
    EXPIRED = "expired"
    UNKNOWN = "lost"
    KNOWN = "known"  # it has begun already
    BOUNDS = "malformed"


class Register(msgspec.Struct, frozen=True):
    """One session; ``applied`` counts the client's lines, ``outbox`` holds (number, line) of the server's."""

    session: str
    epoch: int
    holder: str
    expires: int
    commitment: bytes = b""  # SHA-256 of the secret that opens this epoch
    applied: int = 0
    sent: int = 0  # the number of the server's last line
    state: bytes = b""
    outbox: tuple[tuple[int, bytes], ...] = ()
    answered: bool = False


class Progress(msgspec.Struct, frozen=True):
    """What a holder records: everything that an acknowledgement promises."""

    applied: int
    sent: int
    state: bytes = b""
    outbox: tuple[tuple[int, bytes], ...] = ()


Outcome = Register | Why


class Credential(msgspec.Struct, frozen=True):
    """What a resume presents: its token's epoch, what its secrets open, and what it commits to for the next time."""

    epoch: int
    opened: tuple[bytes, ...] = ()
    commitment: bytes = b""


def begin(register: Register | None, session: str, holder: str, expires: int, commitment: bytes = b"") -> Outcome:
    """Begin a session; a second beginning of it is refused, so that a repeat can't wipe what is there."""
    if register is not None:
        return Why.KNOWN
    return Register(session, 1, holder, expires, commitment)


def claim(register: Register | None, shown: Credential, holder: str, now: int, expires: int) -> Outcome:
    """Hand the session to whoever presents what opens it; everyone before is fenced from here on."""
    if register is None:
        return Why.UNKNOWN
    if register.answered:
        return Why.ANSWERED
    if register.epoch not in (shown.epoch, shown.epoch + 1):
        return Why.STALE
    if not any(compare_digest(register.commitment, opened) for opened in shown.opened):
        return Why.HOLDER if register.epoch == shown.epoch else Why.STALE
    if register.expires <= now:
        return Why.EXPIRED
    return msgspec.structs.replace(
        register, epoch=register.epoch + 1, holder=holder, expires=expires, commitment=shown.commitment
    )


def record(register: Register | None, epoch: int, progress: Progress, expires: int) -> Outcome:
    """Take what the holder has done; only then may it acknowledge. It never goes back."""
    if register is None:
        return Why.UNKNOWN
    if register.epoch != epoch or register.answered:
        return Why.STALE
    if not _sound(register, progress):
        return Why.BOUNDS
    return msgspec.structs.replace(
        register,
        applied=progress.applied,
        sent=progress.sent,
        state=progress.state,
        outbox=progress.outbox,
        expires=max(expires, register.expires),
    )


def answer(register: Register | None, epoch: int) -> Outcome:
    """Give the final answer, once and for good."""
    if register is None:
        return Why.UNKNOWN
    if register.epoch != epoch:
        return Why.STALE
    if register.answered:
        return Why.ANSWERED
    return msgspec.structs.replace(register, answered=True, state=b"", outbox=())


def _sound(register: Register, progress: Progress) -> bool:
    numbers = [number for number, _ in progress.outbox]
    return (
        progress.applied >= register.applied
        and progress.sent >= register.sent
        and len(progress.state) <= MOST_STATE
        and len(numbers) <= MOST_OUTBOX
        and all(len(line) <= MOST_LINE for _, line in progress.outbox)
        and numbers == list(range(progress.sent - len(numbers) + 1, progress.sent + 1))
    )
