"""Registers, numbered lines, tokens and the ledger: what each guards against, one failure a test."""

from __future__ import annotations

import os
import random
import signal
import sqlite3
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from typer.testing import CliRunner

from scaledeal.cli.main import app
from scaledeal.resume.core import lines
from scaledeal.resume.core import register as reg
from scaledeal.resume.core.register import Credential, Progress, Register, TransitionRefusal
from scaledeal.resume.core.token import (
    MAX_TOKEN_CHARS,
    Sealer,
    Token,
    TokenPresentation,
    TokenRefusal,
    check_token,
    commitment_to,
    decode_base64url,
    encode_base64url,
)
from scaledeal.resume.stores.ledger import Ledger, LedgerError, open_or_set_aside
from scaledeal.resume.stores.owner import FullError, MemoryStore
from scaledeal.resume.wire.sessions import SessionManager

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")

SECOND = 1_000_000_000
LATER = 10**18


def shown(epoch: int, *opened: bytes, new: bytes = b"new") -> Credential:
    return Credential(epoch, opened or (b"own",), new)


def begun(session: str = "s") -> Register:
    made = reg.begin(None, session, "a", LATER, b"own")
    assert isinstance(made, Register)
    return made


# The register


def test_a_claim_fences_whoever_held_it() -> None:
    first = begun()
    second = reg.claim(first, shown(1), "b", 0, LATER)
    assert isinstance(second, Register) and (second.epoch, second.holder) == (2, "b")
    assert reg.claim(second, shown(1), "c", 0, LATER) is TransitionRefusal.STALE  # the token presented twice
    assert reg.record(second, 1, Progress(1, 0), LATER) is TransitionRefusal.STALE  # the old server's late words
    assert reg.answer(second, 1) is TransitionRefusal.STALE
    done = reg.answer(second, 2)
    assert isinstance(done, Register) and reg.answer(done, 2) is TransitionRefusal.ANSWERED
    assert reg.claim(done, shown(2, b"new"), "c", 0, LATER) is TransitionRefusal.ANSWERED
    assert reg.record(done, 2, Progress(1, 0), LATER) is TransitionRefusal.STALE


def test_a_client_that_never_heard_its_grant() -> None:
    """The answer to a resume is lost: the old token with the new secret goes on, and with what was seen it does not."""
    granted = reg.claim(begun(), shown(1, b"own", new=b"two"), "b", 0, LATER)
    assert isinstance(granted, Register)
    assert reg.claim(granted, shown(1, b"own", new=b"spy"), "x", 0, LATER) is TransitionRefusal.STALE
    assert reg.claim(granted, shown(2, b"own", new=b"spy"), "x", 0, LATER) is TransitionRefusal.WRONG_HOLDER
    again = reg.claim(granted, shown(1, b"own", b"two", new=b"three"), "c", 0, LATER)
    assert isinstance(again, Register) and (again.epoch, again.commitment) == (3, b"three")
    assert reg.claim(again, shown(1, b"own", b"two", new=b"spy"), "x", 0, LATER) is TransitionRefusal.STALE
    assert reg.claim(again, shown(2, b"own", b"two", new=b"spy"), "x", 0, LATER) is TransitionRefusal.STALE


def test_what_is_not_there_or_late() -> None:
    assert reg.claim(None, shown(1), "b", 0, LATER) is TransitionRefusal.UNKNOWN
    assert reg.record(None, 1, Progress(0, 0), LATER) is TransitionRefusal.UNKNOWN
    assert reg.answer(None, 1) is TransitionRefusal.UNKNOWN
    assert reg.begin(begun(), "s", "b", LATER) is TransitionRefusal.ALREADY_BEGUN
    assert reg.claim(begun(), shown(1), "b", LATER, 2 * LATER) is TransitionRefusal.EXPIRED


@pytest.mark.parametrize(
    "bad",
    [
        Progress(0, 0, b"x" * (reg.MAX_STATE_BYTES + 1)),
        Progress(0, 1, outbox=((2, b""),)),
        Progress(0, 2, outbox=((1, b""),)),
        Progress(0, 99, outbox=tuple((n, b"") for n in range(35, 100))),
        Progress(0, 1, outbox=((1, b"x" * 5000),)),
    ],
)
def test_progress_is_bounded_and_without_gaps(bad: Progress) -> None:
    assert reg.record(begun(), 1, bad, LATER) is TransitionRefusal.OUT_OF_BOUNDS


def test_progress_never_goes_back() -> None:
    after = reg.record(begun(), 1, Progress(3, 2, b"s", ((1, b"x"), (2, b"y"))), LATER)
    assert isinstance(after, Register)
    assert reg.record(after, 1, Progress(2, 2), LATER) is TransitionRefusal.OUT_OF_BOUNDS
    assert reg.record(after, 1, Progress(3, 1), LATER) is TransitionRefusal.OUT_OF_BOUNDS


# Numbered lines


@given(st.integers(1, 10**15 - 1), st.integers(0, 10**15 - 1), st.binary(max_size=60))
def test_numbered_lines_there_and_back(number: int, held: int, text: bytes) -> None:
    line = lines.NumberedLine(number, held, text)
    assert lines.parse_line(lines.format_line(line)) == line
    assert lines.parse_line(lines.format_line(lines.NumberedLine(0, held))) == lines.NumberedLine(0, held)


@given(st.binary(max_size=40))
def test_other_lines_are_none(raw: bytes) -> None:
    found = lines.parse_line(raw)
    assert found is None or lines.parse_line(lines.format_line(found)) == found


def test_a_resume_of_what_is_gone_is_not_made_up() -> None:
    """A line that has been acknowledged can't be sent again: that must be told, not skipped."""
    outbox = lines.Outbox()
    for text in (b"a", b"b", b"c"):
        outbox.append(text)
    assert outbox.acknowledge(2) and not outbox.acknowledge(4)
    assert (
        outbox.lines_after(2) == [(3, b"c")]
        and outbox.lines_after(3) == []
        and outbox.lines_after(1) is None
        and outbox.lines_after(4) is None
    )
    for _ in range(lines.MAX_OUTBOX_LINES - 1):
        outbox.append(b"")
    with pytest.raises(OverflowError):
        outbox.append(b"")


class Exchange(RuleBasedStateMachine):
    """One direction over connections that break, repeat and lose: every line once and in order."""

    def __init__(self) -> None:
        super().__init__()
        self.outbox, self.inbox = lines.Outbox(), lines.Inbox()
        self.sent: list[bytes] = []
        self.got: list[bytes] = []
        self.wire: list[tuple[int, bytes]] = []

    @rule(text=st.binary(max_size=4))
    def send(self, text: bytes) -> None:
        if not self.outbox.is_full():
            self.wire.append((self.outbox.append(text), text))
            self.sent.append(text)

    @rule(data=st.data())
    def arrives(self, data: st.DataObject) -> None:
        if not self.wire:
            return
        number, text = self.wire[data.draw(st.integers(0, len(self.wire) - 1))]
        if self.inbox.classify(number) is lines.LineVerdict.APPLY:
            self.inbox.mark_applied(number)
            self.got.append(text)

    @rule()
    def acknowledged(self) -> None:
        assert self.outbox.acknowledge(self.inbox.last_applied)

    @rule()
    def broken_and_resumed(self) -> None:
        again = self.outbox.lines_after(self.inbox.last_applied)
        assert again is not None
        self.wire = list(again)

    @invariant()
    def once_and_in_order(self) -> None:
        assert self.got == self.sent[: len(self.got)]
        assert self.outbox.size_bytes == sum(len(text) for _, text in self.outbox.lines)


TestExchange = Exchange.TestCase
TestExchange.settings = settings(max_examples=60, stateful_step_count=40, derandomize=True, deadline=None)


# Tokens


SECRET = bytes(range(32))
KEYS = {1: b"k" * 32, 2: b"l" * 32}


def token(**other: Any) -> Token:
    return msgspec.structs.replace(
        Token("s-1", 3, "overlay", "sheet-7", 0, "t-1", "store", 5, 6, 0, 100 * SECOND, commitment_to(SECRET)), **other
    )


def judged(text: str, sealer: Sealer, **other: Any) -> Any:
    found = sealer.open(text)
    if isinstance(found, TokenRefusal):
        return found
    usual = {"secrets": (SECRET,), "request_class": "overlay", "tenant": 0, "owner": "store", "now": SECOND}
    presented = {**usual, **other}
    return check_token(
        found,
        TokenPresentation(presented["secrets"], presented["request_class"], presented["tenant"]),
        presented["owner"],
        presented["now"],
    )


def test_a_token_for_its_holder() -> None:
    sealer = Sealer(KEYS, 1)
    text = sealer.seal(token())
    assert sealer.open(text) == token() and judged(text, sealer) is None
    assert len(text) <= MAX_TOKEN_CHARS and SECRET.hex() not in repr(token()) and "sheet" not in repr(token())


@pytest.mark.parametrize(
    ("other", "why"),
    [
        ({"secrets": (bytes(32),)}, TokenRefusal.WRONG_HOLDER),
        ({"secrets": ()}, TokenRefusal.WRONG_HOLDER),
        ({"secrets": (SECRET[:-1],)}, TokenRefusal.WRONG_HOLDER),
        ({"secrets": (SECRET,) * 3}, TokenRefusal.WRONG_HOLDER),
        ({"now": 100 * SECOND}, TokenRefusal.EXPIRED),
        ({"now": -6 * SECOND}, TokenRefusal.ISSUED_IN_FUTURE),
        ({"request_class": "notes"}, TokenRefusal.OTHER_REQUEST),
        ({"tenant": 1}, TokenRefusal.OTHER_REQUEST),
        ({"owner": "x"}, TokenRefusal.OTHER_OWNER),
    ],
)
def test_a_token_that_may_not_be_used(other: dict[str, Any], why: TokenRefusal) -> None:
    """Of another, late, of the future, for another class or tenant, of another owner: each told plainly."""
    sealer = Sealer(KEYS, 1)
    assert judged(sealer.seal(token()), sealer, **other) is why


def test_keys_are_rotated_and_retired() -> None:
    old, both, new = Sealer({1: KEYS[1]}, 1), Sealer(KEYS, 2), Sealer({2: KEYS[2]}, 2)
    text = old.seal(token())
    assert judged(text, both) is None and judged(text, new) is TokenRefusal.UNKNOWN_KEY
    assert judged(both.seal(token()), new) is None
    assert judged(text, Sealer({1: KEYS[2]}, 1)) is TokenRefusal.MALFORMED
    with pytest.raises(ValueError):
        Sealer(KEYS, 3)


def test_a_token_altered_in_every_byte_cut_or_huge() -> None:
    sealer = Sealer(KEYS, 1)
    text = sealer.seal(token())
    for at in range(len(text)):
        other = "A" if text[at] != "A" else "B"
        assert judged(text[:at] + other + text[at + 1 :], sealer) in (TokenRefusal.MALFORMED, TokenRefusal.UNKNOWN_KEY)
        assert judged(text[:at], sealer) in (TokenRefusal.MALFORMED, TokenRefusal.UNKNOWN_KEY)
    for bad in ("", "é", "A" * (MAX_TOKEN_CHARS + 1), text + "=", text + "\n", " " + text):
        assert sealer.open(bad) is TokenRefusal.MALFORMED
    with pytest.raises(ValueError, match="characters"):
        sealer.seal(token(group="g" * 1000))


@given(st.binary(max_size=50))
def test_one_text_for_each_token(raw: bytes) -> None:
    """A second text for the same bytes would be a second token to whoever keeps lists of them."""
    text = encode_base64url(raw)
    assert not raw or decode_base64url(text) == raw
    for last in "ABCDEFGHIJKLMNOPQRSTUVWXYZ-_":
        if raw and decode_base64url(text[:-1] + last) == raw:
            assert text[-1] == last


# Stores


def test_memory_is_bounded() -> None:
    store = MemoryStore("m", 2)
    for name in ("a", "b"):
        store.begin(name, "h", LATER)
    with pytest.raises(FullError):
        store.begin("c", "h", LATER)
    assert store.begin("a", "h", LATER) is TransitionRefusal.ALREADY_BEGUN
    store.answer("a", 1)
    assert isinstance(store.begin("c", "h", LATER), Register) and store.get("a") is None
    assert store.expire(LATER) == 2 and not list(store.sessions())


def call(store: MemoryStore | Ledger, session: str, word: str, number: int) -> Any:
    if word == "begin":
        return store.begin(session, "h", 5)
    if word == "claim":
        return store.claim(session, shown(number, b""), "g", 0, 5 + number)
    if word == "record":
        return store.record(session, number, Progress(number, 0), 5)
    return store.answer(session, number) if word == "answer" else store.expire(5 + number)


@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"), st.sampled_from(["begin", "claim", "record", "answer", "expire"]), st.integers(1, 3)
        ),
        max_size=25,
    )
)
@settings(max_examples=60, derandomize=True, deadline=None)
def test_memory_and_ledger_say_the_same(calls: list[tuple[str, str, int]]) -> None:
    """Two stores of one interface that differ are two protocols."""
    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        both = MemoryStore("m", 2), Ledger(Path(folder) / "ledger", "l", 2)
        for session, word, number in calls:
            said = []
            for store in both:
                try:
                    said.append(call(store, session, word, number))
                except FullError:
                    said.append("full")
            assert said[0] == said[1]
        left = [sorted(store.sessions(), key=lambda each: each.session) for store in both]
        assert left[0] == left[1]
        both[1].close()


def _claims(path: Path, out: int) -> None:
    """Claim over and over, and say each grant only once it has been told."""
    ledger = Ledger(path, "l")
    for number in range(10**6):
        session = f"s{number % 5}"
        held = ledger.get(session)
        done = (
            ledger.begin(session, "h", LATER)
            if held is None
            else ledger.claim(session, shown(held.epoch, held.commitment), "h", 0, LATER)
        )
        assert isinstance(done, Register)
        os.write(out, f"{session} {done.epoch}\n".encode())


def test_no_fence_that_was_told_is_lost_to_a_kill(tmp_path: Path) -> None:
    """The process is killed at random moments of its writing, 200 times, and reopened each time."""
    chance = random.Random(5)
    path, told = tmp_path / "ledger", dict[str, int]()
    for _ in range(200):
        read, write = os.pipe()
        child = os.fork()
        if child == 0:
            os.close(read)
            try:
                _claims(path, write)
            finally:
                os._exit(1)
        os.close(write)
        wanted, text = chance.randint(1, 40), b""
        while text.count(b"\n") < wanted:
            text += os.read(read, 4096)
        os.kill(child, signal.SIGKILL)
        os.waitpid(child, 0)
        while more := os.read(read, 4096):
            text += more
        os.close(read)
        for line in text.decode().splitlines():
            session, epoch = line.split()
            told[session] = max(told.get(session, 0), int(epoch))
        ledger = Ledger(path, "l")
        held = {each.session: each.epoch for each in ledger.sessions()}
        ledger.close()
        # One grant may be there that was not told: the kill came in between.
        assert all(held[session] >= epoch for session, epoch in told.items())
        assert sum(held.values()) <= sum(told.values()) + 1
        told = held


def _filled(path: Path) -> None:
    ledger = Ledger(path, "l")
    for number in range(300):
        ledger.begin(f"s{number}", "h", LATER)
        ledger.record(f"s{number}", 1, Progress(1, 0, b"x" * 200), LATER)
    ledger.close()


def test_a_torn_or_corrupt_ledger_is_told(tmp_path: Path) -> None:
    """Whatever is flipped or cut: what is opened is as it was written, or it is not opened."""
    _filled(tmp_path / "good")
    whole = (tmp_path / "good").read_bytes()
    mark = (tmp_path / "good-grants").read_bytes()
    chance, refused = random.Random(7), 0
    for number in range(120):
        path, bad = tmp_path / f"bad{number}", bytearray(whole)
        if number % 3:
            bad[chance.randrange(len(bad))] ^= chance.randrange(1, 256)
        else:
            bad = bad[: chance.randrange(1, len(bad))]
        path.write_bytes(bytes(bad))
        path.with_name(path.name + "-grants").write_bytes(mark)
        try:
            ledger = Ledger(path, "l")
        except LedgerError as error:
            refused += 1
            assert "\n" not in str(error)
            continue
        try:
            assert len(list(ledger.sessions())) == 300, number
            assert all(each.applied == 1 and each.state == b"x" * 200 for each in ledger.sessions())
        except LedgerError:
            refused += 1
        ledger.close()
    assert refused > 40


def test_grants_that_a_torn_log_has_lost_are_missed(tmp_path: Path) -> None:
    """SQLite cuts a torn WAL off in silence: what had been told would be granted a second time."""
    path = tmp_path / "ledger"
    ledger = Ledger(path, "l")
    ledger.begin("s", "h", LATER)
    ledger._connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    copy = path.read_bytes()
    ledger.claim("s", shown(1, b""), "g", 0, LATER)
    ledger.close()
    for suffix in ("-wal", "-shm"):
        path.with_name(path.name + suffix).unlink(missing_ok=True)
    path.write_bytes(copy)
    with pytest.raises(LedgerError, match="1 reported grants are missing"):
        Ledger(path, "l")
    fresh, why = open_or_set_aside(path, "l")
    assert "set aside" in why and fresh.claim("s", shown(1, b""), "x", 0, LATER) is TransitionRefusal.UNKNOWN
    fresh.close()
    assert [each for each in tmp_path.iterdir() if "aside" in each.name]


def test_a_batch_is_whole_or_not_at_all(tmp_path: Path) -> None:
    ledger = Ledger(tmp_path / "ledger", "l", 2)
    with pytest.raises(FullError):
        ledger.apply_batch([(name, lambda old, name=name: reg.begin(old, name, "h", LATER), True) for name in "abc"])
    assert not list(ledger.sessions())
    done = ledger.apply_batch([(name, lambda old, name=name: reg.begin(old, name, "h", LATER), True) for name in "ab"])
    assert all(isinstance(each, Register) for each in done)
    ledger.snapshot(tmp_path / "copy")
    ledger.close()
    copy = Ledger(tmp_path / "copy", "l")
    assert {each.session for each in copy.sessions()} == {"a", "b"}
    copy.close()


def test_a_ledger_that_another_process_holds(tmp_path: Path) -> None:
    """A relay that waits for a lock answers nobody: it is told soon, and nothing is granted."""
    ledger = Ledger(tmp_path / "ledger", "l")
    ledger.begin("s", "h", LATER, b"own")
    other = sqlite3.connect(tmp_path / "ledger", isolation_level=None)
    other.execute("BEGIN IMMEDIATE")
    manager = SessionManager(ledger, Sealer(KEYS, 1), SECOND, lambda: SECOND)
    with pytest.raises(LedgerError):
        ledger.claim("s", shown(1), "x", 0, LATER)
    names = {"c": "overlay", "rs": "1", "rc": encode_base64url(commitment_to(SECRET))}
    assert manager.accept_open(names) is None
    token_of = sealed(manager, session="s", epoch=1, owner="l")
    again = {
        "c": "overlay",
        "rs": token_of,
        "op": encode_base64url(SECRET),
        "rc": encode_base64url(commitment_to(bytes(32))),
    }
    assert manager.accept_open(again) == b"BUSY 500"
    other.execute("ROLLBACK")
    other.close()
    assert isinstance(ledger.claim("s", shown(1), "x", 0, LATER), Register)
    ledger.close()


def sealed(manager: SessionManager, **other: Any) -> str:
    return manager.sealer.seal(token(**other))


def test_the_commands_of_sessions(tmp_path: Path) -> None:
    run, path = CliRunner(), tmp_path / "ledger"
    assert run.invoke(app, ["sessions", "list", str(path)]).exit_code == 2 and not path.exists()
    _filled(path)
    listed = run.invoke(app, ["sessions", "list", str(path)])
    assert listed.exit_code == 0 and len(listed.output.splitlines()) == 300
    shown = run.invoke(app, ["sessions", "show", str(path), "s7"])
    assert shown.exit_code == 0 and "state 200 B" in shown.output and "xxx" not in shown.output
    assert run.invoke(app, ["sessions", "show", str(path), "none"]).exit_code == 2
    assert run.invoke(app, ["sessions", "verify", str(path)]).exit_code == 0
    base = sqlite3.connect(path)
    base.execute("UPDATE sessions SET body = x'00' WHERE session = 's7'")
    base.commit()
    base.close()
    refused = run.invoke(app, ["sessions", "verify", str(path)])
    assert refused.exit_code == 2 and "'s7' is not as it was written" in refused.output
