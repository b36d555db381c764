"""The register of one session: its holder, what has been applied, whether it is answered. Pure; times in ns.

A register changes by four transitions only. Each is granted or refused according to the register's contents:

    begin    no register exists yet                                 epoch 1
    claim    credential valid, not answered, not expired            epoch + 1; the previous holder is fenced
    record   the epoch is the caller's own                          applied, state and outbox advance together
    answer   the epoch is the caller's own, not answered            answered, permanently

A credential is the epoch of a token and up to two secrets (their digests), compared with the register's commitment.
It is valid for the present epoch if one of the secrets matches the commitment. It is also valid for the epoch before
if one of them matches the *present* commitment: a client whose resume was granted but that never received the answer
presents its old token again, and proves that it is the same client with a secret that it has never sent. Each secret
opens one epoch, so a secret that was observed on the wire can't be used again.

A refused transition changes nothing. Stores keep registers and must make a grant durable before they report it; the
model checker (tests/test_resume_model.py) runs these same functions under crashes, delays and repeated messages.
"""

from __future__ import annotations

from enum import Enum
from hmac import compare_digest

import msgspec

MAX_STATE_BYTES = 2048  # of the state that a server keeps with its session
MAX_OUTBOX_LINES = 64  # of a server's lines that its client has not acknowledged
MAX_LINE_BYTES = 4096


class TransitionRefusal(Enum):
    """Why a transition is refused; the values are the words sent to the client."""

    WRONG_HOLDER = "holder"  # the epoch is the present one, but no secret matches the commitment
    STALE = "stale"  # the session has been claimed since that epoch, or can no longer record
    ANSWERED = "answered"
    EXPIRED = "expired"
    UNKNOWN = "lost"
    ALREADY_BEGUN = "known"
    OUT_OF_BOUNDS = "malformed"  # progress that goes back, has gaps or is too large


class Register(msgspec.Struct, frozen=True):
    """One session: ``applied`` counts the client's lines, ``outbox`` holds (number, line) of the server's lines."""

    session: str
    epoch: int
    holder: str
    expires: int
    commitment: bytes = b""  # SHA-256 of the secret that opens this epoch
    applied: int = 0
    sent: int = 0  # number of the server's last line
    state: bytes = b""
    outbox: tuple[tuple[int, bytes], ...] = ()
    answered: bool = False


class Progress(msgspec.Struct, frozen=True):
    """What a holder records before it acknowledges lines: an acknowledgement promises all of it."""

    applied: int
    sent: int
    state: bytes = b""
    outbox: tuple[tuple[int, bytes], ...] = ()


TransitionResult = Register | TransitionRefusal


class Credential(msgspec.Struct, frozen=True):
    """What a resume presents: its token's epoch, the commitments that its secrets open, and a new commitment."""

    epoch: int
    opened_commitments: tuple[bytes, ...] = ()
    commitment: bytes = b""


def begin(
    register: Register | None, session: str, holder: str, expires: int, commitment: bytes = b""
) -> TransitionResult:
    """Begin a session; refuse it for an existing session, so that a repeated message can't erase the register."""
    if register is not None:
        return TransitionRefusal.ALREADY_BEGUN
    return Register(session, 1, holder, expires, commitment)


def claim(register: Register | None, credential: Credential, holder: str, now: int, expires: int) -> TransitionResult:
    """Transfer the session to the presenter of a valid credential; all earlier holders are fenced from then on."""
    if register is None:
        return TransitionRefusal.UNKNOWN
    if register.answered:
        return TransitionRefusal.ANSWERED
    if register.epoch not in (credential.epoch, credential.epoch + 1):
        return TransitionRefusal.STALE
    if not any(compare_digest(register.commitment, each) for each in credential.opened_commitments):
        return TransitionRefusal.WRONG_HOLDER if register.epoch == credential.epoch else TransitionRefusal.STALE
    if register.expires <= now:
        return TransitionRefusal.EXPIRED
    return msgspec.structs.replace(
        register, epoch=register.epoch + 1, holder=holder, expires=expires, commitment=credential.commitment
    )


def record(register: Register | None, epoch: int, progress: Progress, expires: int) -> TransitionResult:
    """Record the holder's progress, which never goes back; only once granted may the holder acknowledge lines."""
    if register is None:
        return TransitionRefusal.UNKNOWN
    if register.epoch != epoch or register.answered:
        return TransitionRefusal.STALE
    if not _is_valid_progress(register, progress):
        return TransitionRefusal.OUT_OF_BOUNDS
    return msgspec.structs.replace(
        register,
        applied=progress.applied,
        sent=progress.sent,
        state=progress.state,
        outbox=progress.outbox,
        expires=max(expires, register.expires),
    )


def answer(register: Register | None, epoch: int) -> TransitionResult:
    """Mark the session as finally answered; granted once, and permanent."""
    if register is None:
        return TransitionRefusal.UNKNOWN
    if register.epoch != epoch:
        return TransitionRefusal.STALE
    if register.answered:
        return TransitionRefusal.ANSWERED
    return msgspec.structs.replace(register, answered=True, state=b"", outbox=())


def _is_valid_progress(register: Register, progress: Progress) -> bool:
    numbers = [number for number, _ in progress.outbox]
    return (
        progress.applied >= register.applied
        and progress.sent >= register.sent
        and len(progress.state) <= MAX_STATE_BYTES
        and len(numbers) <= MAX_OUTBOX_LINES
        and all(len(line) <= MAX_LINE_BYTES for _, line in progress.outbox)
        and numbers == list(range(progress.sent - len(numbers) + 1, progress.sent + 1))
    )
