"""Connects resumable sessions to a relay: settings, the owner, key reloads and the timer that expires sessions."""

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
from scaledeal.resume.stores.ledger import Ledger, LedgerError, open_or_set_aside
from scaledeal.resume.stores.owner import MemoryStore
from scaledeal.resume.wire.sessions import SessionManager

log = structlog.get_logger("scaledeal.resume")

EXPIRY_INTERVAL_S = 5.0


class ResumeSide:
    """Resumable sessions at one relay; owns the ledger and closes it."""

    def __init__(self, relay: Relay, resume: Resume, read_file: Callable[[], Resume | None]) -> None:
        self.relay = relay
        self.resume = resume
        self.read_file = read_file
        self.sealer = _sealer(resume)
        self.manager: SessionManager | None = None
        self.ledger: Ledger | None = None
        self.closed = False

    def start(self) -> None:
        """Open the owner and accept sessions; raise ConfigError if the ledger can't be opened."""
        resume = self.resume
        owner: Ledger | MemoryStore = MemoryStore(resume.owner, resume.max_sessions)
        if resume.ledger:
            try:
                self.ledger, set_aside_reason = open_or_set_aside(
                    Path(resume.ledger), resume.owner, resume.max_sessions
                )
            except LedgerError as error:
                raise ConfigError(f"resume.ledger: {error}") from None
            owner = self.ledger
            if set_aside_reason:
                log.error("ledger is corrupt or can't be opened: its sessions are lost", reason=set_aside_reason)
        self.manager = SessionManager(owner, self.sealer, int(resume.expiry), self.relay.unix_clock.now)
        self.relay.client_factory.client_context.session_openers.append(self.manager.accept_open)

    def listed(self, event: api.Membership) -> None:
        """Ignore changes of the list of application servers: sessions do not depend on it."""

    def serve(self) -> None:
        """Start to expire sessions periodically."""
        log.info("sessions are resumable", owner=self.resume.owner, ledger=self.resume.ledger or "memory")
        self._expire()

    def reload(self) -> None:
        """Read the keys again; the block's other settings take effect only after a restart."""
        try:
            resume = self.read_file()
            if resume is None:
                raise ConfigError("the resume block was removed: restart the relay to apply this")
            self.sealer = _sealer(resume)
        except (FileError, ConfigError) as error:
            log.warning("settings not taken, the old ones stay in force", reason=str(error))
            return
        if self.manager is not None:
            self.manager.sealer = self.sealer
        log.info("session keys reloaded", active=self.sealer.active)

    def lines(self) -> list[str]:
        """Return the metrics as lines of the operators' INFO answer."""
        if self.manager is None:
            return []
        counts = [
            f'relay_sessions_total{{what="{event}"}} {count}' for event, count in sorted(self.manager.counts.items())
        ]
        return [f"relay_sessions_live {len(self.manager.live)}", *counts]

    def close(self) -> None:
        """Stop accepting and expiring sessions, and close the ledger."""
        self.closed = True
        self.relay.client_factory.client_context.session_openers.clear()
        if self.ledger is not None:
            self.ledger.close()

    def _expire(self) -> None:
        if self.closed or self.manager is None:
            return
        self.relay.reactor.callLater(EXPIRY_INTERVAL_S, self._expire)
        try:
            self.manager.owner.expire(self.manager.clock())
        except Exception:  # an error, such as a ledger that stays locked, must not stop the timer
            log.exception("sessions could not be expired")


def _sealer(resume: Resume) -> Sealer:
    try:
        ring = key_file.read(Path(resume.keys))
        return Sealer(ring.token_keys(), ring.active.number)
    except KeyRingError as error:
        raise ConfigError(f"resume.keys: {error}") from None
