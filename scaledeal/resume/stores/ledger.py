"""The ledger: registers on disk, in SQLite (WAL, synchronous=FULL), so that a fence outlives the process.

A grant is reported after its commit. The ledger counts its grants within the same transactions, and again in a separate
file: SQLite silently truncates a WAL whose end is torn, and the two counts then differ. The ledger also keeps the
number of its rows and the exclusive or of their checksums: a flipped bit can remove a row from a page, and SQLite's own
integrity check can't tell that the row existed.
"""

from __future__ import annotations

import contextlib
import os
import sqlite3
import time
from collections.abc import Callable, Iterator
from hashlib import blake2b
from pathlib import Path

import msgspec

from scaledeal.resume.core.register import Register, TransitionResult
from scaledeal.resume.stores.owner import FullError, OwnerError, Transition, TransitionStore

SCHEMA_VERSION = 1
LOCK_TIMEOUT_S = 0.25  # wait for another process's transaction; the relay's event loop is blocked meanwhile
_SCHEMA_SQL = """
CREATE TABLE IF NOT EXISTS about (one INTEGER PRIMARY KEY CHECK (one = 1), schema INTEGER, grants INTEGER,
                                  rows INTEGER, sums BLOB);
INSERT OR IGNORE INTO about VALUES (1, 1, 0, 0, zeroblob(16));
CREATE TABLE IF NOT EXISTS sessions (session TEXT PRIMARY KEY, expires INTEGER, answered INTEGER, body BLOB,
                                     sum BLOB) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS by_expiry ON sessions (expires);
CREATE INDEX IF NOT EXISTS by_answered ON sessions (expires) WHERE answered = 1;
"""


class LedgerError(OwnerError):
    """A ledger is corrupt, locked or can't be opened; the text is one line for operators."""


def _xor(first: bytes, second: bytes) -> bytes:
    return (int.from_bytes(first, "big") ^ int.from_bytes(second, "big")).to_bytes(16, "big")


def _checksum(body: bytes) -> bytes:
    return blake2b(body, digest_size=16).digest()


class Ledger(TransitionStore):
    """Owns the database and the file with the count of its grants; ``close`` closes both.

    Raises LedgerError if it can't be opened, or if its contents are not as they were written.
    """

    def __init__(self, path: Path, name: str, max_sessions: int = 1_000_000) -> None:
        self.path = path
        self.name = name
        self.max_sessions = max_sessions
        self._grant_count_fd = -1
        self._row_count, self._checksum_xor = 0, bytes(16)
        try:
            self._connection = sqlite3.connect(path, isolation_level=None, timeout=LOCK_TIMEOUT_S)
            for pragma in ("journal_mode=WAL", "synchronous=FULL", "cell_size_check=ON"):
                self._connection.execute(f"PRAGMA {pragma}")
            self._check_integrity(path.exists())
            self._connection.executescript(_SCHEMA_SQL)
            self._grant_count_fd = os.open(self._grant_count_path(), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            self._verify()
        except (sqlite3.Error, OSError) as error:
            self.close()
            raise LedgerError(f"{path}: {error}") from None
        except LedgerError:
            self.close()
            raise

    def _grant_count_path(self) -> Path:
        return self.path.with_name(self.path.name + "-grants")

    def close(self) -> None:
        """Close both files."""
        with contextlib.suppress(sqlite3.Error, AttributeError):
            self._connection.close()
        if self._grant_count_fd >= 0:
            os.close(self._grant_count_fd)
            self._grant_count_fd = -1

    # Verification

    def _check_integrity(self, exists: bool) -> None:
        finding = self._connection.execute("PRAGMA integrity_check(1)").fetchone()[0] if exists else "ok"
        if finding != "ok":
            raise LedgerError(f"{self.path}: corrupt database: {' '.join(finding.split())}")

    def _verify(self) -> None:
        """Read all rows; raise LedgerError at the first difference from what was written."""
        schema, grants, rows, checksums = self._connection.execute(
            "SELECT schema, grants, rows, sums FROM about"
        ).fetchone()
        if schema != SCHEMA_VERSION:
            raise LedgerError(f"{self.path}: unknown schema version {schema}")
        if (reported := self._read_grant_count()) > grants:
            raise LedgerError(f"{self.path}: {reported - grants} reported grants are missing")
        count, checksum_xor = 0, bytes(16)
        for session, expires, answered, body, checksum in self._connection.execute("SELECT * FROM sessions"):
            register = self._decode_register(session, body, checksum)
            # The checksum does not cover the columns by which sessions are expired and evicted: a flipped bit there
            # would delete a session too soon.
            if (register.session, register.expires, register.answered) != (session, expires, bool(answered)):
                raise LedgerError(f"{self.path}: session {session!r} is corrupt: its columns differ from its register")
            count, checksum_xor = count + 1, _xor(checksum_xor, checksum)
        if (count, checksum_xor) != (rows, checksums):
            raise LedgerError(f"{self.path}: row count or checksum mismatch: found {count} sessions, expected {rows}")
        self._row_count, self._checksum_xor = rows, checksums
        self._write_grant_count(grants)

    def _read_grant_count(self) -> int:
        """Return how many grants had been reported."""
        raw = os.pread(self._grant_count_fd, 24, 0)
        if not raw:
            return 0
        if len(raw) != 24 or _checksum(raw[:8]) != raw[8:]:
            raise LedgerError(f"{self._grant_count_path()}: corrupt grant count")
        return int.from_bytes(raw[:8], "big")

    def _write_grant_count(self, grants: int) -> None:
        raw = grants.to_bytes(8, "big")
        os.pwrite(self._grant_count_fd, raw + _checksum(raw), 0)

    # Transitions

    def apply(self, session: str, transition: Transition, needs_room: bool = False) -> TransitionResult:
        """Apply one transition; its grant is durable once this returns."""
        return self.apply_batch([(session, transition, needs_room)])[0]

    def apply_batch(self, transitions: list[tuple[str, Transition, bool]]) -> list[TransitionResult]:
        """Apply several transitions with one commit: all are durable once this returns; if it raises, none is granted.

        Each entry is the session, the transition and whether it may add a session, as for ``apply``.
        """
        return self._transaction(lambda: [self._apply_one(*each) for each in transitions])

    def _transaction(self, operation: Callable[[], list[TransitionResult]]) -> list[TransitionResult]:
        try:
            self._connection.execute("BEGIN IMMEDIATE")
        except sqlite3.Error as error:
            raise LedgerError(f"{self.path}: {error}") from None
        # Read these on each transaction: a `scaledeal sessions` command may have expired sessions since the last one.
        before = self._row_count, self._checksum_xor = self._connection.execute(
            "SELECT rows, sums FROM about"
        ).fetchone()
        try:
            results = operation()
            granted = sum(isinstance(each, Register) for each in results)
            grants = self._connection.execute(
                "UPDATE about SET grants = grants + ?, rows = ?, sums = ? RETURNING grants",
                (granted, self._row_count, self._checksum_xor),
            ).fetchone()[0]
            self._connection.execute("COMMIT")
        except BaseException as error:
            self._row_count, self._checksum_xor = before
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
            if isinstance(error, sqlite3.Error):  # for example a full disk; nothing was granted
                raise LedgerError(f"{self.path}: {error}") from None
            raise
        if granted:
            self._write_grant_count(grants)
        return results

    def _apply_one(self, session: str, transition: Transition, needs_room: bool) -> TransitionResult:
        before = self.get(session)
        after = transition(before)
        if not isinstance(after, Register):
            return after
        if needs_room and before is None:
            self._make_room()
        body = msgspec.msgpack.encode(after)
        if before is not None:
            self._subtract_row(_checksum(msgspec.msgpack.encode(before)))
        self._row_count, self._checksum_xor = self._row_count + 1, _xor(self._checksum_xor, _checksum(body))
        self._connection.execute(
            "INSERT OR REPLACE INTO sessions VALUES (?, ?, ?, ?, ?)",
            (session, after.expires, after.answered, body, _checksum(body)),
        )
        return after

    def _subtract_row(self, checksum: bytes) -> None:
        self._row_count, self._checksum_xor = self._row_count - 1, _xor(self._checksum_xor, checksum)

    def _make_room(self) -> None:
        if self._row_count < self.max_sessions:
            return
        oldest_answered = "session = (SELECT session FROM sessions WHERE answered = 1 ORDER BY expires LIMIT 1)"
        if not self._delete(oldest_answered, ()):
            raise FullError(f"the ledger is full with {self.max_sessions} sessions")

    def _delete(self, where: str, values: tuple[int, ...]) -> int:
        deleted = self._connection.execute(f"DELETE FROM sessions WHERE {where} RETURNING sum", values).fetchall()  # noqa: S608
        for (checksum,) in deleted:
            self._subtract_row(checksum)
        return len(deleted)

    # Queries and maintenance

    def get(self, session: str) -> Register | None:
        """Return a session's register, or None for an unknown session; raise LedgerError if it is corrupt."""
        row = self._connection.execute("SELECT body, sum FROM sessions WHERE session = ?", (session,)).fetchone()
        return self._decode_register(session, *row) if row is not None else None

    def _decode_register(self, session: str, body: bytes, checksum: bytes) -> Register:
        if _checksum(body) != checksum:
            raise LedgerError(f"{self.path}: session {session!r} is corrupt: checksum mismatch")
        try:
            return msgspec.msgpack.decode(body, type=Register)
        except msgspec.MsgspecError as error:
            raise LedgerError(f"{self.path}: session {session!r} is corrupt: {error}") from None

    def sessions(self) -> Iterator[Register]:
        """Return all registers, the next to expire first; raise LedgerError at a corrupt one."""
        for row in self._connection.execute("SELECT session, body, sum FROM sessions ORDER BY expires"):
            yield self._decode_register(*row)

    def expire(self, now: int) -> int:
        """Delete the sessions that have expired and return how many they were."""
        before = self._row_count

        def delete_expired() -> list[TransitionResult]:
            self._delete("expires <= ?", (now,))
            return []

        self._transaction(delete_expired)
        return before - self._row_count

    def compact(self) -> None:
        """Return the space of deleted sessions to the file system; call it only while no relay uses the ledger."""
        self._connection.execute("VACUUM")
        self._connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")

    def snapshot(self, destination: Path) -> None:
        """Copy a consistent snapshot of the ledger while it is in use; the copy can be opened as a ledger."""
        with contextlib.closing(sqlite3.connect(destination)) as copy:
            self._connection.backup(copy)


def open_or_set_aside(path: Path, name: str, max_sessions: int = 1_000_000) -> tuple[Ledger, str]:
    """Open a ledger; if it is corrupt or can't be opened, set it aside whole and open an empty one in its place.

    The second value is the reason, and empty if nothing was set aside. No data of a ledger that is set aside is used:
    all its sessions are unknown from then on, and their clients are told so. Raises LedgerError if the empty one can't
    be opened either.
    """
    try:
        return Ledger(path, name, max_sessions), ""
    except LedgerError as error:
        aside = f"{path.name}.aside-{time.time_ns():016x}"  # noqa: TID251 - only makes the name unique
        for suffix in ("", "-wal", "-shm", "-grants"):
            with contextlib.suppress(FileNotFoundError):
                path.with_name(path.name + suffix).rename(path.with_name(aside + suffix))
        return Ledger(path, name, max_sessions), f"{error}; set aside as {aside}"
