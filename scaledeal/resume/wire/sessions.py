"""The resumable sessions of one relay: accepts offers, issues and checks tokens, and records progress at the owner.

The owner decides; this module translates between lines and the owner's four transitions. An application server's line
is recorded before it is passed on, so the next server knows of everything that the client has received.
"""

from __future__ import annotations

import secrets
from collections import Counter
from collections.abc import Callable

from scaledeal.resume.core.lines import NumberedLine, Outbox, format_line, parse_line
from scaledeal.resume.core.register import MAX_STATE_BYTES, Credential, Progress, Register, TransitionResult
from scaledeal.resume.core.token import Sealer, Token, TokenPresentation, TokenRefusal, check_token, commitment_to
from scaledeal.resume.stores.owner import FullError, Owner, OwnerError
from scaledeal.resume.wire import words
from scaledeal.resume.wire.words import Offer

NamedValues = dict[str, str]  # of an OPEN line
OWNER_RETRY_AFTER_MS = 500  # sent to a client whose session could not be claimed because the owner failed


class SessionManager:
    """Begins and resumes the sessions of this relay, and holds what they share."""

    def __init__(self, owner: Owner, sealer: Sealer, expiry_ns: int, clock: Callable[[], int]) -> None:
        """``clock`` returns Unix time in ns and must not step; sessions expire ``expiry_ns`` after the last record."""
        self.owner = owner
        self.sealer = sealer
        self.expiry_ns = expiry_ns
        self.clock = clock
        self.live: dict[str, Session] = {}  # by session id: the connection that holds it at this relay
        self.counts: Counter[str] = Counter()

    def accept_open(self, named_values: NamedValues) -> Session | bytes | None:
        """Process a client's OPEN; return its session, the line that refuses it, or None if it is not resumable."""
        try:
            offer = words.parse_offer(named_values)
        except ValueError:
            return self._refusal("malformed")
        if offer is None:
            return None
        return self._begin(named_values, offer) if not offer.token else self._resume(named_values, offer)

    def _refusal(self, reason: str) -> bytes:
        self.counts[f"refused {reason}"] += 1
        return b"ERR RS " + reason.encode()

    def _begin(self, named_values: NamedValues, offer: Offer) -> Session | None:
        session = secrets.token_hex(8)
        try:
            register = self.owner.begin(session, self.owner.name, self.clock() + self.expiry_ns, offer.commitment)
        except FullError:
            # The connection is served without being resumable; the client sees so from its UP, which has no token.
            self.counts["no room"] += 1
            return None
        except OwnerError:
            self.counts["owner failed"] += 1
            return None
        assert isinstance(register, Register)
        begun = Session(self, named_values, register, 0)
        try:
            begun.seal_token()
        except ValueError:  # the group's name is so long that the token does not fit into a line
            begun.refusal(b"")
            return None
        self.counts["begun"] += 1
        return begun

    def _resume(self, named_values: NamedValues, offer: Offer) -> Session | bytes:
        token = self.sealer.open(offer.token)
        if isinstance(token, TokenRefusal):
            return self._refusal(token.value)
        tenant = int(named_values.get("t") or 0)
        if refusal := check_token(
            token, TokenPresentation(offer.secrets, named_values.get("c", ""), tenant), self.owner.name, self.clock()
        ):
            return self._refusal(refusal.value)
        register = self._claim(token, offer)
        if isinstance(register, bytes):
            return register
        outbox = Outbox(register.sent, register.outbox)
        if not outbox.acknowledge(offer.seen) or outbox.lines_after(offer.seen) is None:
            return self._refusal("lost")
        self.counts["resumed"] += 1
        return Session(self, named_values, register, offer.seen)

    def _claim(self, token: Token, offer: Offer) -> Register | bytes:
        credential = Credential(token.epoch, tuple(commitment_to(secret) for secret in offer.secrets), offer.commitment)
        now = self.clock()
        try:
            register = self.owner.claim(token.session, credential, self.owner.name, now, now + self.expiry_ns)
        except OwnerError:
            # Nothing was claimed, so the token stays valid for the client's next attempt.
            self.counts["owner failed"] += 1
            return b"BUSY %d" % OWNER_RETRY_AFTER_MS
        if not isinstance(register, Register):
            return self._refusal(register.value)
        if (earlier := self.live.get(token.session)) is not None:
            # The owner refuses whatever the earlier connection records from now on; without this it would stay open,
            # though none of its lines counts.
            earlier.fence()
        return register


class Session:
    """One connection of a session, from its OPEN to its end."""

    def __init__(self, manager: SessionManager, named_values: NamedValues, register: Register, seen: int) -> None:
        self.manager = manager
        self.named_values = named_values
        self.register = register
        self.outbox = Outbox(register.sent, register.outbox)
        self.outbox.acknowledge(seen)
        self.server_state = register.state
        self.accepted = False  # the application server's UP has accepted the session
        self.released = False  # this connection does not hold the session any more
        self.cut: Callable[[], None] = lambda: None  # aborts the connection; set by the user agent's side
        manager.live[register.session] = self

    # Set-up

    def asked(self) -> NamedValues:
        """Return the named values that the application server gets instead of the client's."""
        passed_on = {name: value for name, value in self.named_values.items() if name not in words.RELAY_ONLY_NAMES}
        passed_on |= {"rs": self.register.session, "at": str(self.register.applied), "sent": str(self.register.sent)}
        return passed_on | ({"state": words.encode_state(self.server_state)} if self.server_state else {})

    def up(self, line: bytes) -> list[bytes]:
        """Process the application server's UP; return the lines for the client.

        These are the UP with a token and, again, the lines that the client has not acknowledged.
        """
        self.accepted = line.endswith(b" rs=1")
        if not self.accepted:
            self._discard()
            return [line]
        answer = line.removesuffix(b" rs=1") + b" rs=%s at=%d" % (self.seal_token(), self.register.applied)
        unacknowledged = [
            format_line(NumberedLine(number, self.register.applied, text)) for number, text in self.outbox.lines
        ]
        return [answer, *unacknowledged]

    def refusal(self, line: bytes) -> bytes:
        """Return a refusal or failure with the token that is valid now; end a session that has just begun."""
        if self.accepted or self.register.epoch == 1:
            self._discard()
            return line
        self.leave()
        return line + b" rs=" + self.seal_token()

    # An established connection

    def from_client(self, line: bytes) -> bool:
        """Process a client's line before it is passed on; return False if it violates the extension's grammar.

        An acknowledgement of a line that was never sent is such a violation, too.
        """
        if not self.accepted:
            return True
        numbered = parse_line(line)
        return numbered is not None and self.outbox.acknowledge(numbered.acknowledged)

    def to_client(self, line: bytes) -> list[bytes] | None:
        """Process an application server's line; return the lines for the client, or None if the connection must be cut.

        It must be cut if the line is malformed, or if the owner does not record it because another holds the session.
        """
        if self.released and not self.accepted:
            return [line]
        word = line.partition(b" ")[0]
        if word == b"BYE":
            return [line] if self._answer() else None
        if not self.accepted:
            return [line]
        if word == words.KEEP:
            state = words.parse_keep(line)
            if state is None or len(state) > MAX_STATE_BYTES:
                return None
            self.server_state = state
            return []
        if word == b"MOVE":
            return [self.move()]
        if word == b"LOAD":
            return [line]
        numbered = parse_line(line)
        return [line] if numbered is not None and self._record(numbered) else None

    def move(self) -> bytes:
        """Release the session and return the MOVE line for the client, with the token that is valid now."""
        self.leave()
        return b"MOVE rs=" + self.seal_token() if self.accepted else b"MOVE"

    def leave(self) -> None:
        """Release the session: this connection does not hold it any more, and it may be resumed."""
        self.released = True
        if self.manager.live.get(self.register.session) is self:
            del self.manager.live[self.register.session]

    def fence(self) -> None:
        """Release the session, which another connection has claimed, and abort this connection."""
        self.leave()
        self.manager.counts["fenced"] += 1
        self.cut()

    def _record(self, numbered: NumberedLine) -> bool:
        """Record an application server's line at the owner before it is passed on; return whether that succeeded."""
        if numbered.number:
            if numbered.number != self.outbox.last_sent + 1 or self.outbox.is_full():
                return False
            self.outbox.append(numbered.text)
        progress = Progress(numbered.acknowledged, self.outbox.last_sent, self.server_state, tuple(self.outbox.lines))
        expires = self.manager.clock() + self.manager.expiry_ns
        return self._apply_transition(
            lambda: self.manager.owner.record(self.register.session, self.register.epoch, progress, expires)
        )

    def _answer(self) -> bool:
        granted = self._apply_transition(lambda: self.manager.owner.answer(self.register.session, self.register.epoch))
        self.leave()
        return granted

    def _apply_transition(self, transition: Callable[[], TransitionResult]) -> bool:
        """Apply a transition at the owner; return whether it was granted: not if it is refused or the owner fails.

        The caller must not pass on a line whose transition was not granted.
        """
        try:
            result = transition()
        except OwnerError:
            self.manager.counts["owner failed"] += 1
            return False
        if isinstance(result, Register):
            self.register = result
            return True
        self.manager.counts["late words"] += 1
        return False

    def _discard(self) -> None:
        """End a session that can't be resumed: mark it as answered, so that the store may evict it."""
        self._apply_transition(lambda: self.manager.owner.answer(self.register.session, self.register.epoch))
        self.leave()

    def seal_token(self) -> bytes:
        """Return a token that is valid now; raise ValueError if it would be too long for a line."""
        register, named_values, now = self.register, self.named_values, self.manager.clock()
        token = Token(
            register.session,
            register.epoch,
            named_values.get("c", ""),
            named_values.get("g", ""),
            int(named_values.get("t") or 0),
            register.holder,
            self.manager.owner.name,
            register.applied,
            register.sent,
            now,
            now + self.manager.expiry_ns,
            register.commitment,
        )
        return self.manager.sealer.seal(token).encode()
