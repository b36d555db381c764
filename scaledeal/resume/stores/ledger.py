"""The ledger: registers on disk, in SQLite (WAL, synchronous=FULL), so that a fence outlives the process.

A grant is told after its commit. The ledger counts its grants inside the same transactions, and once more in a file
beside it: a WAL whose end is torn is cut off by SQLite without a word, and the two counts then differ. It also keeps
the number of its rows and the exclusive or of their sums: a flipped bit can take a row out of a page, and SQLite's own
check does not know that it was there.
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
from scaledeal.resume.stores.owner import FullError, OwnerError, Step, Steps

SCHEMA = 1
PATIENCE = 0.25  # seconds that a transition waits for another process's: the relay waits with it
_TABLES = """
CREATE TABLE IF NOT EXISTS about (one INTEGER PRIMARY KEY CHECK (one = 1), schema INTEGER, grants INTEGER,
                                  rows INTEGER, sums BLOB);
INSERT OR IGNORE INTO about VALUES (1, 1, 0, 0, zeroblob(16));
CREATE TABLE IF NOT EXISTS sessions (session TEXT PRIMARY KEY, expires INTEGER, answered INTEGER, body BLOB,
                                     sum BLOB) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS by_expiry ON sessions (expires);
CREATE INDEX IF NOT EXISTS by_answered ON sessions (expires) WHERE answered = 1;
"""


class LedgerError(OwnerError):
    """A ledger that can't be believed, or can't be opened; the text is one plain line."""


def _xor(one: bytes, other: bytes) -> bytes:
    return (int.from_bytes(one, "big") ^ int.from_bytes(other, "big")).to_bytes(16, "big")


def _sum(body: bytes) -> bytes:
    return blake2b(body, digest_size=16).digest()


class Ledger(Steps):
    """Owns the database, and the file that counts its grants; ``close`` gives both back."""

    def __init__(self, path: Path, name: str, most: int = 1_000_000) -> None:
        self.path = path
        self.name = name
        self.most = most
        self._mark = -1
        self._rows, self._sums = 0, bytes(16)
        try:
            self._base = sqlite3.connect(path, isolation_level=None, timeout=PATIENCE)
            for pragma in ("journal_mode=WAL", "synchronous=FULL", "cell_size_check=ON"):
                self._base.execute(f"PRAGMA {pragma}")
            self._check(path.exists())
            self._base.executescript(_TABLES)
            self._mark = os.open(self._beside(), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            self._verify()
        except (sqlite3.Error, OSError) as error:
            self.close()
            raise LedgerError(f"{path}: {error}") from None
        except LedgerError:
            self.close()
            raise

    def _beside(self) -> Path:
        return self.path.with_name(self.path.name + "-grants")

    def close(self) -> None:
        """Close both files."""
        with contextlib.suppress(sqlite3.Error, AttributeError):
            self._base.close()
        if self._mark >= 0:
            os.close(self._mark)
            self._mark = -1

    # Whether it can be believed

    def _check(self, there: bool) -> None:
        found = self._base.execute("PRAGMA integrity_check(1)").fetchone()[0] if there else "ok"
        if found != "ok":
            raise LedgerError(f"{self.path}: is corrupt: {' '.join(found.split())}")

    def _verify(self) -> None:
        """Read everything; raise LedgerError at the first thing that is not as it was written."""
        schema, grants, rows, sums = self._base.execute("SELECT schema, grants, rows, sums FROM about").fetchone()
        if schema != SCHEMA:
            raise LedgerError(f"{self.path}: schema {schema} is not known")
        if (told := self._told()) > grants:
            raise LedgerError(f"{self.path}: {told - grants} grants that were told are missing")
        count, mixed = 0, bytes(16)
        for session, expires, answered, body, total in self._base.execute("SELECT * FROM sessions"):
            kept = self._read(session, body, total)
            # Guards against a session that is forgotten too soon: these two columns are outside of the sum.
            if (kept.session, kept.expires, kept.answered) != (session, expires, bool(answered)):
                raise LedgerError(f"{self.path}: session {session!r} is not as it was written")
            count, mixed = count + 1, _xor(mixed, total)
        if (count, mixed) != (rows, sums):
            raise LedgerError(f"{self.path}: {count} sessions are there, {rows} were written")
        self._rows, self._sums = rows, sums
        self._tell(grants)

    def _told(self) -> int:
        """Return how many grants had been told."""
        raw = os.pread(self._mark, 24, 0)
        if not raw:
            return 0
        if len(raw) != 24 or _sum(raw[:8]) != raw[8:]:
            raise LedgerError(f"{self._beside()}: is corrupt")
        return int.from_bytes(raw[:8], "big")

    def _tell(self, grants: int) -> None:
        raw = grants.to_bytes(8, "big")
        os.pwrite(self._mark, raw + _sum(raw), 0)

    # Transitions

    def apply(self, session: str, step: Step, new: bool = False) -> TransitionResult:
        """Apply one transition, durably."""
        return self.batch([(session, step, new)])[0]

    def batch(self, steps: list[tuple[str, Step, bool]]) -> list[TransitionResult]:
        """Apply several transitions with one commit: all are durable once this returns, or none is told."""
        return self._transaction(lambda: [self._one(*each) for each in steps])

    def _transaction(self, work: Callable[[], list[TransitionResult]]) -> list[TransitionResult]:
        try:
            self._base.execute("BEGIN IMMEDIATE")
        except sqlite3.Error as error:
            raise LedgerError(f"{self.path}: {error}") from None
        # Read anew each time: a command may have expired sessions meanwhile.
        before = self._rows, self._sums = self._base.execute("SELECT rows, sums FROM about").fetchone()
        try:
            outcomes = work()
            granted = sum(isinstance(each, Register) for each in outcomes)
            grants = self._base.execute(
                "UPDATE about SET grants = grants + ?, rows = ?, sums = ? RETURNING grants",
                (granted, self._rows, self._sums),
            ).fetchone()[0]
            self._base.execute("COMMIT")
        except BaseException as error:
            self._rows, self._sums = before
            if self._base.in_transaction:
                self._base.execute("ROLLBACK")
            if isinstance(error, sqlite3.Error):  # a full disk, say: nothing was granted
                raise LedgerError(f"{self.path}: {error}") from None
            raise
        if granted:
            self._tell(grants)
        return outcomes

    def _one(self, session: str, step: Step, new: bool) -> TransitionResult:
        before = self.get(session)
        after = step(before)
        if not isinstance(after, Register):
            return after
        if new and before is None:
            self._room()
        body = msgspec.msgpack.encode(after)
        if before is not None:
            self._remove(_sum(msgspec.msgpack.encode(before)))
        self._rows, self._sums = self._rows + 1, _xor(self._sums, _sum(body))
        self._base.execute(
            "INSERT OR REPLACE INTO sessions VALUES (?, ?, ?, ?, ?)",
            (session, after.expires, after.answered, body, _sum(body)),
        )
        return after

    def _remove(self, total: bytes) -> None:
        self._rows, self._sums = self._rows - 1, _xor(self._sums, total)

    def _room(self) -> None:
        if self._rows < self.most:
            return
        oldest = "session = (SELECT session FROM sessions WHERE answered = 1 ORDER BY expires LIMIT 1)"
        if not self._delete(oldest, ()):
            raise FullError(f"{self.most} sessions are kept")

    def _delete(self, where: str, values: tuple[int, ...]) -> int:
        gone = self._base.execute(f"DELETE FROM sessions WHERE {where} RETURNING sum", values).fetchall()  # noqa: S608
        for (total,) in gone:
            self._remove(total)
        return len(gone)

    # What is asked of it

    def get(self, session: str) -> Register | None:
        """Return a session's register; raise LedgerError where it is not as it was written."""
        row = self._base.execute("SELECT body, sum FROM sessions WHERE session = ?", (session,)).fetchone()
        return self._read(session, *row) if row is not None else None

    def _read(self, session: str, body: bytes, total: bytes) -> Register:
        if _sum(body) != total:
            raise LedgerError(f"{self.path}: session {session!r} is not as it was written")
        try:
            return msgspec.msgpack.decode(body, type=Register)
        except msgspec.MsgspecError as error:
            raise LedgerError(f"{self.path}: session {session!r}: {error}") from None

    def sessions(self) -> Iterator[Register]:
        """Return all registers, the next to expire first."""
        for row in self._base.execute("SELECT session, body, sum FROM sessions ORDER BY expires"):
            yield self._read(*row)

    def expire(self, now: int) -> int:
        """Forget the sessions whose time is up."""
        before = self._rows

        def work() -> list[TransitionResult]:
            self._delete("expires <= ?", (now,))
            return []

        self._transaction(work)
        return before - self._rows

    def compact(self) -> None:
        """Give back the room of what is gone."""
        self._base.execute("VACUUM")
        self._base.execute("PRAGMA wal_checkpoint(TRUNCATE)")

    def snapshot(self, to: Path) -> None:
        """Copy the ledger as it is at one moment, while it is in use; the copy is a ledger itself."""
        with contextlib.closing(sqlite3.connect(to)) as copy:
            self._base.backup(copy)


def opened(path: Path, name: str, most: int = 1_000_000) -> tuple[Ledger, str]:
    """Open a ledger; one that can't be believed is set aside whole, and an empty one takes its place.

    The second value says why, and is empty where all is well. Every session of the one set aside is then unknown, and
    its client is told so; nothing of it is used.
    """
    try:
        return Ledger(path, name, most), ""
    except LedgerError as error:
        aside = f"{path.name}.aside-{time.time_ns():016x}"  # noqa: TID251 - a name, and no moment
        for suffix in ("", "-wal", "-shm", "-grants"):
            with contextlib.suppress(FileNotFoundError):
                path.with_name(path.name + suffix).rename(path.with_name(aside + suffix))
        return Ledger(path, name, most), f"{error}; set aside as {aside}"
