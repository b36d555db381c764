"""Ties resumable sessions to a relay: settings, the owner, and the time that both need."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import structlog

from scaledeal import interface as api
from scaledeal.net.config import ConfigError
from scaledeal.net.relay import Relay
from scaledeal.operator import FileError, Resume
from scaledeal.quic.ids import key_file
from scaledeal.quic.ids.keys import KeyRingError
from scaledeal.resume.core.token import Sealer
from scaledeal.resume.stores.ledger import Ledger, LedgerError, opened
from scaledeal.resume.stores.owner import Memory
from scaledeal.resume.wire.desk import Desk

log = structlog.get_logger("scaledeal.resume")

EXPIRE = 5.0  # seconds between two looks at what is past its time


class ResumeSide:
    """Resumable sessions at one relay; owns the ledger."""

    def __init__(self, relay: Relay, resume: Resume, read_file: Callable[[], Resume | None]) -> None:
        self.relay = relay
        self.resume = resume
        self.read_file = read_file
        self.sealer = _sealer(resume)
        self.desk: Desk | None = None
        self.ledger: Ledger | None = None
        self.closed = False

    def start(self) -> None:
        """Open the owner; raise ConfigError where there can be none."""
        resume = self.resume
        owner: Ledger | Memory = Memory(resume.owner, resume.max_sessions)
        if resume.ledger:
            try:
                self.ledger, why = opened(Path(resume.ledger), resume.owner, resume.max_sessions)
            except LedgerError as error:
                raise ConfigError(f"resume.ledger: {error}") from None
            owner = self.ledger
            if why:
                log.error("the ledger can't be believed: all its sessions begin anew", reason=why)
        self.desk = Desk(owner, self.sealer, int(resume.expiry), self.relay.unix_clock.now)
        self.relay.door.client_context.session_openers.append(self.desk.come)

    def listed(self, event: api.Membership) -> None:
        """Hear news of the list: nothing here hangs on it."""

    def serve(self) -> None:
        """Begin to look at what is past its time."""
        log.info("sessions are resumable", owner=self.resume.owner, ledger=self.resume.ledger or "memory")
        self._expire()

    def reload(self) -> None:
        """Read the keys again; all else waits for a restart."""
        try:
            resume = self.read_file()
            if resume is None:
                raise ConfigError("the resume block is gone: that wants a restart")
            self.sealer = _sealer(resume)
        except (FileError, ConfigError) as error:
            log.warning("settings not taken, the old ones stay in force", reason=str(error))
            return
        if self.desk is not None:
            self.desk.sealer = self.sealer
        log.info("keys of sessions taken", active=self.sealer.active)

    def lines(self) -> list[str]:
        """Return the figures as operators read them."""
        if self.desk is None:
            return []
        counts = [f'relay_sessions_total{{what="{what}"}} {count}' for what, count in sorted(self.desk.counts.items())]
        return [f"relay_sessions_live {len(self.desk.live)}", *counts]

    def close(self) -> None:
        """Give the ledger back."""
        self.closed = True
        self.relay.door.client_context.session_openers.clear()
        if self.ledger is not None:
            self.ledger.close()

    def _expire(self) -> None:
        if self.closed or self.desk is None:
            return
        self.relay.reactor.callLater(EXPIRE, self._expire)
        try:
            self.desk.owner.expire(self.desk.clock())
        except Exception:  # a ledger that is locked for long must not end the looking
            log.exception("sessions could not be expired")


def _sealer(resume: Resume) -> Sealer:
    try:
        ring = key_file.read(Path(resume.keys))
        return Sealer(ring.token_keys(), ring.active.number)
    except KeyRingError as error:
        raise ConfigError(f"resume.keys: {error}") from None
