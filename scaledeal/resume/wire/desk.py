"""One relay's end of the extension: it offers, mints and takes tokens, and keeps the owner told.

The owner decides; what is here translates between lines and its four transitions. A line of the server's is recorded
before it is passed on, so whatever a client has heard is what the next server will know.
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

Names = dict[str, str]
AGAIN = 500  # ms after which a client may come again where the owner could not be asked


class Desk:
    """What all sessions of this relay share."""

    def __init__(self, owner: Owner, sealer: Sealer, expiry: int, clock: Callable[[], int]) -> None:
        """``clock`` returns Unix time in ns, and must not step."""
        self.owner = owner
        self.sealer = sealer
        self.expiry = expiry
        self.clock = clock
        self.live: dict[str, Session] = {}  # by their session's name: who holds it at this relay
        self.counts: Counter[str] = Counter()

    def come(self, names: Names) -> Session | bytes | None:
        """Take a client's OPEN: a session, the words that refuse it, or None where it offers nothing."""
        try:
            offer = words.offer(names)
        except ValueError:
            return self._refused("malformed")
        if offer is None:
            return None
        return self._begin(names, offer) if not offer.token else self._resume(names, offer)

    def _refused(self, why: str) -> bytes:
        self.counts[f"refused {why}"] += 1
        return b"ERR RS " + why.encode()

    def _begin(self, names: Names, offer: Offer) -> Session | None:
        session = secrets.token_hex(8)
        try:
            register = self.owner.begin(session, self.owner.name, self.clock() + self.expiry, offer.commitment)
        except FullError:
            # The connection is served all the same; the client sees by its UP that it can't be resumed.
            self.counts["no room"] += 1
            return None
        except OwnerError:
            self.counts["owner failed"] += 1
            return None
        assert isinstance(register, Register)
        made = Session(self, names, register, 0)
        try:
            made.token()
        except ValueError:  # a group whose name leaves no room in a line
            made.refusal(b"")
            return None
        self.counts["begun"] += 1
        return made

    def _resume(self, names: Names, offer: Offer) -> Session | bytes:
        token = self.sealer.open(offer.token)
        if isinstance(token, TokenRefusal):
            return self._refused(token.value)
        tenant = int(names.get("t") or 0)
        if why := check_token(
            token, TokenPresentation(offer.secrets, names.get("c", ""), tenant), self.owner.name, self.clock()
        ):
            return self._refused(why.value)
        register = self._claim(token, offer)
        if isinstance(register, bytes):
            return register
        outbox = Outbox(register.sent, register.outbox)
        if not outbox.acknowledge(offer.seen) or outbox.lines_after(offer.seen) is None:
            return self._refused("lost")
        self.counts["resumed"] += 1
        return Session(self, names, register, offer.seen)

    def _claim(self, token: Token, offer: Offer) -> Register | bytes:
        shown = Credential(token.epoch, tuple(commitment_to(secret) for secret in offer.secrets), offer.commitment)
        now = self.clock()
        try:
            register = self.owner.claim(token.session, shown, self.owner.name, now, now + self.expiry)
        except OwnerError:
            # Nothing was claimed: the token is as good as before when its client comes again.
            self.counts["owner failed"] += 1
            return b"BUSY %d" % AGAIN
        if not isinstance(register, Register):
            return self._refused(register.value)
        if (old := self.live.get(token.session)) is not None:
            # Guards against a connection that stands on, though nothing it says counts any more.
            old.fenced()
        return register


class Session:
    """One connection of a session, from its OPEN to its end."""

    def __init__(self, desk: Desk, names: Names, register: Register, seen: int) -> None:
        self.desk = desk
        self.names = names
        self.register = register
        self.outbox = Outbox(register.sent, register.outbox)
        self.outbox.acknowledge(seen)
        self.state = register.state
        self.on = False  # the server has taken it up
        self.over = False
        self.cut: Callable[[], None] = lambda: None  # breaks the connection; the client's side sets it
        desk.live[register.session] = self

    # Before it stands

    def asked(self) -> Names:
        """Return the named values that the server gets in place of the client's."""
        plain = {name: value for name, value in self.names.items() if name not in words.NAMES}
        plain |= {"rs": self.register.session, "at": str(self.register.applied), "sent": str(self.register.sent)}
        return plain | ({"state": words.told_state(self.state)} if self.state else {})

    def up(self, line: bytes) -> list[bytes]:
        """Take the server's UP; return what its client gets."""
        self.on = line.endswith(b" rs=1")
        if not self.on:
            self._end()
            return [line]
        told = line.removesuffix(b" rs=1") + b" rs=%s at=%d" % (self.token(), self.register.applied)
        again = [format_line(NumberedLine(number, self.register.applied, text)) for number, text in self.outbox.lines]
        return [told, *again]

    def refusal(self, line: bytes) -> bytes:
        """Return a refusal or failure with the token that is good now; a session that has just begun ends."""
        if self.on or self.register.epoch == 1:
            self._end()
            return line
        self.leave()
        return line + b" rs=" + self.token()

    # While it stands

    def from_client(self, line: bytes) -> bool:
        """Take a client's line that is to be passed on; False where it is none of the extension's."""
        if not self.on:
            return True
        read = parse_line(line)
        return read is not None and self.outbox.acknowledge(read.acknowledged)

    def to_client(self, line: bytes) -> list[bytes] | None:
        """Take a server's line; return what its client gets, or None where another holds the session now."""
        if self.over and not self.on:
            return [line]
        word = line.partition(b" ")[0]
        if word == b"BYE":
            return [line] if self._answered() else None
        if not self.on:
            return [line]
        if word == words.KEEP:
            state = words.keep(line)
            if state is None or len(state) > MAX_STATE_BYTES:
                return None
            self.state = state
            return []
        if word == b"MOVE":
            return [self.move()]
        if word == b"LOAD":
            return [line]
        read = parse_line(line)
        return [line] if read is not None and self._recorded(read) else None

    def move(self) -> bytes:
        """Return the MOVE that its client gets."""
        self.leave()
        return b"MOVE rs=" + self.token() if self.on else b"MOVE"

    def leave(self) -> None:
        """Be done here; the session may be resumed."""
        self.over = True
        if self.desk.live.get(self.register.session) is self:
            del self.desk.live[self.register.session]

    def fenced(self) -> None:
        """Hear that another holds the session now."""
        self.leave()
        self.desk.counts["fenced"] += 1
        self.cut()

    def _recorded(self, read: NumberedLine) -> bool:
        """Record what a server's line promises, before its client hears it."""
        if read.number:
            if read.number != self.outbox.last_sent + 1 or self.outbox.is_full():
                return False
            self.outbox.append(read.text)
        progress = Progress(read.acknowledged, self.outbox.last_sent, self.state, tuple(self.outbox.lines))
        expires = self.desk.clock() + self.desk.expiry
        return self._kept(lambda: self.desk.owner.record(self.register.session, self.register.epoch, progress, expires))

    def _answered(self) -> bool:
        done = self._kept(lambda: self.desk.owner.answer(self.register.session, self.register.epoch))
        self.leave()
        return done

    def _kept(self, ask: Callable[[], TransitionResult]) -> bool:
        """Ask the owner; False where it says no, or can't say: what is not recorded is not passed on."""
        try:
            outcome = ask()
        except OwnerError:
            self.desk.counts["owner failed"] += 1
            return False
        if isinstance(outcome, Register):
            self.register = outcome
            return True
        self.desk.counts["late words"] += 1
        return False

    def _end(self) -> None:
        """Have done with a session that nobody can resume."""
        self._kept(lambda: self.desk.owner.answer(self.register.session, self.register.epoch))
        self.leave()

    def token(self) -> bytes:
        """Return the token that is good now; raise ValueError where it would be too long."""
        register, names, now = self.register, self.names, self.desk.clock()
        token = Token(
            register.session,
            register.epoch,
            names.get("c", ""),
            names.get("g", ""),
            int(names.get("t") or 0),
            register.holder,
            self.desk.owner.name,
            register.applied,
            register.sent,
            now,
            now + self.desk.expiry,
            register.commitment,
        )
        return self.desk.sealer.seal(token).encode()
