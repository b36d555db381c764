"""Registers, numbered lines, tokens and stores of resumable sessions; each test covers one failure."""

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

SECOND_NS = 1_000_000_000
LATER_NS = 10**18  # an expiry far ahead


def credential(epoch: int, *opened: bytes, new: bytes = b"new") -> Credential:
    return Credential(epoch, opened or (b"own",), new)


def begun_register(session: str = "s") -> Register:
    register = reg.begin(None, session, "a", LATER_NS, b"own")
    assert isinstance(register, Register)
    return register


# Registers


def test_a_claim_fences_the_previous_holder() -> None:
    first = begun_register()
    second = reg.claim(first, credential(1), "b", 0, LATER_NS)
    assert isinstance(second, Register) and (second.epoch, second.holder) == (2, "b")
    # The token is presented a second time.
    assert reg.claim(second, credential(1), "c", 0, LATER_NS) is TransitionRefusal.STALE
    assert reg.record(second, 1, Progress(1, 0), LATER_NS) is TransitionRefusal.STALE  # the old server records late
    assert reg.answer(second, 1) is TransitionRefusal.STALE
    answered = reg.answer(second, 2)
    assert isinstance(answered, Register) and reg.answer(answered, 2) is TransitionRefusal.ANSWERED
    assert reg.claim(answered, credential(2, b"new"), "c", 0, LATER_NS) is TransitionRefusal.ANSWERED
    assert reg.record(answered, 2, Progress(1, 0), LATER_NS) is TransitionRefusal.STALE


def test_a_client_that_missed_its_grant_can_claim_again() -> None:
    """If the answer to a resume is lost, the old token is valid with the new secret, but not with one already sent."""
    granted = reg.claim(begun_register(), credential(1, b"own", new=b"two"), "b", 0, LATER_NS)
    assert isinstance(granted, Register)
    assert reg.claim(granted, credential(1, b"own", new=b"spy"), "x", 0, LATER_NS) is TransitionRefusal.STALE
    assert reg.claim(granted, credential(2, b"own", new=b"spy"), "x", 0, LATER_NS) is TransitionRefusal.WRONG_HOLDER
    again = reg.claim(granted, credential(1, b"own", b"two", new=b"three"), "c", 0, LATER_NS)
    assert isinstance(again, Register) and (again.epoch, again.commitment) == (3, b"three")
    assert reg.claim(again, credential(1, b"own", b"two", new=b"spy"), "x", 0, LATER_NS) is TransitionRefusal.STALE
    assert reg.claim(again, credential(2, b"own", b"two", new=b"spy"), "x", 0, LATER_NS) is TransitionRefusal.STALE


def test_transitions_of_unknown_begun_or_expired_sessions_are_refused() -> None:
    assert reg.claim(None, credential(1), "b", 0, LATER_NS) is TransitionRefusal.UNKNOWN
    assert reg.record(None, 1, Progress(0, 0), LATER_NS) is TransitionRefusal.UNKNOWN
    assert reg.answer(None, 1) is TransitionRefusal.UNKNOWN
    assert reg.begin(begun_register(), "s", "b", LATER_NS) is TransitionRefusal.ALREADY_BEGUN
    assert reg.claim(begun_register(), credential(1), "b", LATER_NS, 2 * LATER_NS) is TransitionRefusal.EXPIRED


@pytest.mark.parametrize(
    "progress",
    [
        Progress(0, 0, b"x" * (reg.MAX_STATE_BYTES + 1)),
        Progress(0, 1, outbox=((2, b""),)),
        Progress(0, 2, outbox=((1, b""),)),
        Progress(0, 99, outbox=tuple((n, b"") for n in range(35, 100))),
        Progress(0, 1, outbox=((1, b"x" * 5000),)),
    ],
)
def test_progress_that_is_too_large_or_has_gaps_is_refused(progress: Progress) -> None:
    assert reg.record(begun_register(), 1, progress, LATER_NS) is TransitionRefusal.OUT_OF_BOUNDS


def test_progress_that_goes_back_is_refused() -> None:
    after = reg.record(begun_register(), 1, Progress(3, 2, b"s", ((1, b"x"), (2, b"y"))), LATER_NS)
    assert isinstance(after, Register)
    assert reg.record(after, 1, Progress(2, 2), LATER_NS) is TransitionRefusal.OUT_OF_BOUNDS
    assert reg.record(after, 1, Progress(3, 1), LATER_NS) is TransitionRefusal.OUT_OF_BOUNDS


# Numbered lines


@given(st.integers(1, 10**15 - 1), st.integers(0, 10**15 - 1), st.binary(max_size=60))
def test_numbered_lines_round_trip(number: int, acknowledged: int, text: bytes) -> None:
    line = lines.NumberedLine(number, acknowledged, text)
    assert lines.parse_line(lines.format_line(line)) == line
    assert lines.parse_line(lines.format_line(lines.NumberedLine(0, acknowledged))) == lines.NumberedLine(
        0, acknowledged
    )


@given(st.binary(max_size=40))
def test_any_bytes_are_refused_or_round_trip(raw: bytes) -> None:
    parsed = lines.parse_line(raw)
    assert parsed is None or lines.parse_line(lines.format_line(parsed)) == parsed


def test_an_outbox_reports_lines_that_it_no_longer_keeps() -> None:
    """An acknowledged line can't be sent again; if the outbox skipped it in silence, the peer would miss a line."""
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
    """One direction over connections that break, duplicate and lose lines: each line is applied once and in order."""

    def __init__(self) -> None:
        super().__init__()
        self.outbox, self.inbox = lines.Outbox(), lines.Inbox()
        self.sent: list[bytes] = []
        self.applied: list[bytes] = []
        self.wire: list[tuple[int, bytes]] = []

    @rule(text=st.binary(max_size=4))
    def send(self, text: bytes) -> None:
        if not self.outbox.is_full():
            self.wire.append((self.outbox.append(text), text))
            self.sent.append(text)

    @rule(data=st.data())
    def receive(self, data: st.DataObject) -> None:
        if not self.wire:
            return
        number, text = self.wire[data.draw(st.integers(0, len(self.wire) - 1))]
        if self.inbox.classify(number) is lines.LineVerdict.APPLY:
            self.inbox.mark_applied(number)
            self.applied.append(text)

    @rule()
    def acknowledge(self) -> None:
        assert self.outbox.acknowledge(self.inbox.last_applied)

    @rule()
    def reconnect(self) -> None:
        unacknowledged = self.outbox.lines_after(self.inbox.last_applied)
        assert unacknowledged is not None
        self.wire = list(unacknowledged)

    @invariant()
    def lines_are_applied_once_and_in_order(self) -> None:
        assert self.applied == self.sent[: len(self.applied)]
        assert self.outbox.size_bytes == sum(len(text) for _, text in self.outbox.lines)


TestExchange = Exchange.TestCase
TestExchange.settings = settings(max_examples=60, stateful_step_count=40, derandomize=True, deadline=None)


# Tokens


SECRET = bytes(range(32))
KEYS = {1: b"k" * 32, 2: b"l" * 32}


def make_token(**changes: Any) -> Token:
    return msgspec.structs.replace(
        Token("s-1", 3, "overlay", "sheet-7", 0, "t-1", "store", 5, 6, 0, 100 * SECOND_NS, commitment_to(SECRET)),
        **changes,
    )


def open_and_check(text: str, sealer: Sealer, **changes: Any) -> Any:
    opened = sealer.open(text)
    if isinstance(opened, TokenRefusal):
        return opened
    defaults = {"secrets": (SECRET,), "request_class": "overlay", "tenant": 0, "owner": "store", "now": SECOND_NS}
    presented = {**defaults, **changes}
    return check_token(
        opened,
        TokenPresentation(presented["secrets"], presented["request_class"], presented["tenant"]),
        presented["owner"],
        presented["now"],
    )


def test_the_holder_may_use_its_token() -> None:
    sealer = Sealer(KEYS, 1)
    text = sealer.seal(make_token())
    assert sealer.open(text) == make_token() and open_and_check(text, sealer) is None
    assert len(text) <= MAX_TOKEN_CHARS and SECRET.hex() not in repr(make_token()) and "sheet" not in repr(make_token())


@pytest.mark.parametrize(
    ("changes", "refusal"),
    [
        ({"secrets": (bytes(32),)}, TokenRefusal.WRONG_HOLDER),
        ({"secrets": ()}, TokenRefusal.WRONG_HOLDER),
        ({"secrets": (SECRET[:-1],)}, TokenRefusal.WRONG_HOLDER),
        ({"secrets": (SECRET,) * 3}, TokenRefusal.WRONG_HOLDER),
        ({"now": 100 * SECOND_NS}, TokenRefusal.EXPIRED),
        ({"now": -6 * SECOND_NS}, TokenRefusal.ISSUED_IN_FUTURE),
        ({"request_class": "notes"}, TokenRefusal.OTHER_REQUEST),
        ({"tenant": 1}, TokenRefusal.OTHER_REQUEST),
        ({"owner": "x"}, TokenRefusal.OTHER_OWNER),
    ],
)
def test_a_token_is_refused_with_its_reason(changes: dict[str, Any], refusal: TokenRefusal) -> None:
    """Wrong holder, expired, issued in the future, other class or tenant, other owner: each has its own refusal."""
    sealer = Sealer(KEYS, 1)
    assert open_and_check(sealer.seal(make_token()), sealer, **changes) is refusal


def test_tokens_are_accepted_until_their_key_is_retired() -> None:
    old, both, new = Sealer({1: KEYS[1]}, 1), Sealer(KEYS, 2), Sealer({2: KEYS[2]}, 2)
    text = old.seal(make_token())
    assert open_and_check(text, both) is None and open_and_check(text, new) is TokenRefusal.UNKNOWN_KEY
    assert open_and_check(both.seal(make_token()), new) is None
    assert open_and_check(text, Sealer({1: KEYS[2]}, 1)) is TokenRefusal.MALFORMED
    with pytest.raises(ValueError):
        Sealer(KEYS, 3)


def test_altered_cut_and_oversized_tokens_are_refused() -> None:
    sealer = Sealer(KEYS, 1)
    text = sealer.seal(make_token())
    for index in range(len(text)):
        replacement = "A" if text[index] != "A" else "B"
        assert open_and_check(text[:index] + replacement + text[index + 1 :], sealer) in (
            TokenRefusal.MALFORMED,
            TokenRefusal.UNKNOWN_KEY,
        )
        assert open_and_check(text[:index], sealer) in (TokenRefusal.MALFORMED, TokenRefusal.UNKNOWN_KEY)
    for bad in ("", "é", "A" * (MAX_TOKEN_CHARS + 1), text + "=", text + "\n", " " + text):
        assert sealer.open(bad) is TokenRefusal.MALFORMED
    with pytest.raises(ValueError, match="characters"):
        sealer.seal(make_token(group="g" * 1000))


@given(st.binary(max_size=50))
def test_each_token_has_one_text(raw: bytes) -> None:
    """A second text for the same bytes would pass as a second token wherever token texts are compared or listed."""
    text = encode_base64url(raw)
    assert not raw or decode_base64url(text) == raw
    for last in "ABCDEFGHIJKLMNOPQRSTUVWXYZ-_":
        if raw and decode_base64url(text[:-1] + last) == raw:
            assert text[-1] == last


# Stores


def test_the_memory_store_is_bounded() -> None:
    store = MemoryStore("m", 2)
    for name in ("a", "b"):
        store.begin(name, "h", LATER_NS)
    with pytest.raises(FullError):
        store.begin("c", "h", LATER_NS)
    assert store.begin("a", "h", LATER_NS) is TransitionRefusal.ALREADY_BEGUN
    store.answer("a", 1)
    assert isinstance(store.begin("c", "h", LATER_NS), Register) and store.get("a") is None
    assert store.expire(LATER_NS) == 2 and not list(store.sessions())


def call_store(store: MemoryStore | Ledger, session: str, operation: str, number: int) -> Any:
    if operation == "begin":
        return store.begin(session, "h", 5)
    if operation == "claim":
        return store.claim(session, credential(number, b""), "g", 0, 5 + number)
    if operation == "record":
        return store.record(session, number, Progress(number, 0), 5)
    return store.answer(session, number) if operation == "answer" else store.expire(5 + number)


@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"), st.sampled_from(["begin", "claim", "record", "answer", "expire"]), st.integers(1, 3)
        ),
        max_size=25,
    )
)
@settings(max_examples=60, derandomize=True, deadline=None)
def test_memory_store_and_ledger_behave_alike(calls: list[tuple[str, str, int]]) -> None:
    """Stores that differ behind one interface would give sessions different guarantees, depending on the settings."""
    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        stores = MemoryStore("m", 2), Ledger(Path(folder) / "ledger", "l", 2)
        for session, operation, number in calls:
            results = []
            for store in stores:
                try:
                    results.append(call_store(store, session, operation, number))
                except FullError:
                    results.append("full")
            assert results[0] == results[1]
        remaining = [sorted(store.sessions(), key=lambda each: each.session) for store in stores]
        assert remaining[0] == remaining[1]
        stores[1].close()


def _claim_repeatedly(path: Path, report_fd: int) -> None:
    """Claim sessions in a loop, and write each grant to ``report_fd`` after the ledger has returned it."""
    ledger = Ledger(path, "l")
    for number in range(10**6):
        session = f"s{number % 5}"
        register = ledger.get(session)
        result = (
            ledger.begin(session, "h", LATER_NS)
            if register is None
            else ledger.claim(session, credential(register.epoch, register.commitment), "h", 0, LATER_NS)
        )
        assert isinstance(result, Register)
        os.write(report_fd, f"{session} {result.epoch}\n".encode())


def test_reported_grants_survive_a_kill_of_the_process(tmp_path: Path) -> None:
    """A process is killed at random moments while it writes, 200 times; the ledger is reopened each time."""
    rng = random.Random(5)
    path, reported = tmp_path / "ledger", dict[str, int]()
    for _ in range(200):
        read, write = os.pipe()
        child = os.fork()
        if child == 0:
            os.close(read)
            try:
                _claim_repeatedly(path, write)
            finally:
                os._exit(1)
        os.close(write)
        wanted_grants, output = rng.randint(1, 40), b""
        while output.count(b"\n") < wanted_grants:
            output += os.read(read, 4096)
        os.kill(child, signal.SIGKILL)
        os.waitpid(child, 0)
        while more := os.read(read, 4096):
            output += more
        os.close(read)
        for line in output.decode().splitlines():
            session, epoch = line.split()
            reported[session] = max(reported.get(session, 0), int(epoch))
        ledger = Ledger(path, "l")
        kept = {each.session: each.epoch for each in ledger.sessions()}
        ledger.close()
        # One grant may be kept that was not reported: the process was killed between its commit and its report.
        assert all(kept[session] >= epoch for session, epoch in reported.items())
        assert sum(kept.values()) <= sum(reported.values()) + 1
        reported = kept


def _fill_ledger(path: Path) -> None:
    ledger = Ledger(path, "l")
    for number in range(300):
        ledger.begin(f"s{number}", "h", LATER_NS)
        ledger.record(f"s{number}", 1, Progress(1, 0, b"x" * 200), LATER_NS)
    ledger.close()


def test_a_torn_or_corrupt_ledger_is_not_used(tmp_path: Path) -> None:
    """With any byte altered or the end cut off, a ledger either has all that was written or is refused."""
    _fill_ledger(tmp_path / "good")
    intact = (tmp_path / "good").read_bytes()
    grant_count = (tmp_path / "good-grants").read_bytes()
    rng, refused_count = random.Random(7), 0
    for number in range(120):
        path, corrupt = tmp_path / f"bad{number}", bytearray(intact)
        if number % 3:
            corrupt[rng.randrange(len(corrupt))] ^= rng.randrange(1, 256)
        else:
            corrupt = corrupt[: rng.randrange(1, len(corrupt))]
        path.write_bytes(bytes(corrupt))
        path.with_name(path.name + "-grants").write_bytes(grant_count)
        try:
            ledger = Ledger(path, "l")
        except LedgerError as error:
            refused_count += 1
            assert "\n" not in str(error)
            continue
        try:
            assert len(list(ledger.sessions())) == 300, number
            assert all(each.applied == 1 and each.state == b"x" * 200 for each in ledger.sessions())
        except LedgerError:
            refused_count += 1
        ledger.close()
    assert refused_count > 40


def test_grants_lost_with_a_torn_wal_are_detected(tmp_path: Path) -> None:
    """SQLite silently truncates a torn WAL: a grant that was reported before would be given a second time."""
    path = tmp_path / "ledger"
    ledger = Ledger(path, "l")
    ledger.begin("s", "h", LATER_NS)
    ledger._connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    copy = path.read_bytes()
    ledger.claim("s", credential(1, b""), "g", 0, LATER_NS)
    ledger.close()
    for suffix in ("-wal", "-shm"):
        path.with_name(path.name + suffix).unlink(missing_ok=True)
    path.write_bytes(copy)
    with pytest.raises(LedgerError, match="1 reported grants are missing"):
        Ledger(path, "l")
    fresh, reason = open_or_set_aside(path, "l")
    assert "set aside" in reason and fresh.claim("s", credential(1, b""), "x", 0, LATER_NS) is TransitionRefusal.UNKNOWN
    fresh.close()
    assert [each for each in tmp_path.iterdir() if "aside" in each.name]


def test_a_batch_is_applied_as_a_whole_or_not_at_all(tmp_path: Path) -> None:
    ledger = Ledger(tmp_path / "ledger", "l", 2)
    with pytest.raises(FullError):
        ledger.apply_batch([(name, lambda old, name=name: reg.begin(old, name, "h", LATER_NS), True) for name in "abc"])
    assert not list(ledger.sessions())
    results = ledger.apply_batch(
        [(name, lambda old, name=name: reg.begin(old, name, "h", LATER_NS), True) for name in "ab"]
    )
    assert all(isinstance(each, Register) for each in results)
    ledger.snapshot(tmp_path / "copy")
    ledger.close()
    copy = Ledger(tmp_path / "copy", "l")
    assert {each.session for each in copy.sessions()} == {"a", "b"}
    copy.close()


def test_a_ledger_locked_by_another_process_fails_soon(tmp_path: Path) -> None:
    """A relay that waits for a lock serves nobody: the ledger must raise soon, and grant nothing."""
    ledger = Ledger(tmp_path / "ledger", "l")
    ledger.begin("s", "h", LATER_NS, b"own")
    other = sqlite3.connect(tmp_path / "ledger", isolation_level=None)
    other.execute("BEGIN IMMEDIATE")
    manager = SessionManager(ledger, Sealer(KEYS, 1), SECOND_NS, lambda: SECOND_NS)
    with pytest.raises(LedgerError):
        ledger.claim("s", credential(1), "x", 0, LATER_NS)
    begin_values = {"c": "overlay", "rs": "1", "rc": encode_base64url(commitment_to(SECRET))}
    assert manager.accept_open(begin_values) is None
    text = seal_token(manager, session="s", epoch=1, owner="l")
    resume_values = {
        "c": "overlay",
        "rs": text,
        "op": encode_base64url(SECRET),
        "rc": encode_base64url(commitment_to(bytes(32))),
    }
    assert manager.accept_open(resume_values) == b"BUSY 500"
    other.execute("ROLLBACK")
    other.close()
    assert isinstance(ledger.claim("s", credential(1), "x", 0, LATER_NS), Register)
    ledger.close()


def seal_token(manager: SessionManager, **changes: Any) -> str:
    return manager.sealer.seal(make_token(**changes))


def test_the_sessions_commands(tmp_path: Path) -> None:
    runner, path = CliRunner(), tmp_path / "ledger"
    assert runner.invoke(app, ["sessions", "list", str(path)]).exit_code == 2 and not path.exists()
    _fill_ledger(path)
    listed = runner.invoke(app, ["sessions", "list", str(path)])
    assert listed.exit_code == 0 and len(listed.output.splitlines()) == 300
    details = runner.invoke(app, ["sessions", "show", str(path), "s7"])
    assert details.exit_code == 0 and "state 200 B" in details.output and "xxx" not in details.output
    assert runner.invoke(app, ["sessions", "show", str(path), "none"]).exit_code == 2
    assert runner.invoke(app, ["sessions", "verify", str(path)]).exit_code == 0
    connection = sqlite3.connect(path)
    connection.execute("UPDATE sessions SET body = x'00' WHERE session = 's7'")
    connection.commit()
    connection.close()
    refused = runner.invoke(app, ["sessions", "verify", str(path)])
    assert refused.exit_code == 2 and "'s7' is corrupt: checksum mismatch" in refused.output
