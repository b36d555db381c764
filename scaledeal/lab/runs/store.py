"""Keeps the outcomes of runs in one SQLite file, which is written as each run ends.

The key of a run is a digest of its inputs, so a run that is already stored is not played again, and a sweep that was
stopped continues with the missing runs. SQLite is part of Python's standard library, its write-ahead log survives
kill -9, and several sweeps may write at once. DuckDB, the alternative, is a column store that pays off only beyond some
millions of rows, and allows only one writing process.
"""

from __future__ import annotations

import csv
import sqlite3
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TextIO

import msgspec

from scaledeal.lab.runs.play import Outcome

_TABLE = """create table if not exists runs (
    key text primary key, at real not null, experiment text not null, title text not null, seed integer not null,
    host text not null, variant text not null, score real not null, error text not null, violations integer not null,
    outcome blob not null)"""
COLUMNS = ("key", "at", "experiment", "title", "seed", "host", "variant", "score", "error", "violations")


class StoreError(Exception):
    """The file cannot be used as a store; the message gives the reason."""


class Store:
    """The stored outcomes of runs."""

    def __init__(self, path: Path) -> None:
        """Open or create the file; raise StoreError if it cannot be used."""
        try:
            self.connection = sqlite3.connect(path, timeout=30.0, isolation_level=None)
            self.connection.execute("pragma journal_mode = wal")
            self.connection.execute(_TABLE)
        except sqlite3.Error as error:
            raise StoreError(f"{path}: {error}") from None

    def close(self) -> None:
        """Close the file."""
        self.connection.close()

    def save(self, outcome: Outcome, experiment: str) -> None:
        """Store one outcome under its key; one with an error is played again by the next sweep."""
        self.connection.execute(
            "insert or replace into runs values (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                outcome.key,
                time.time(),
                experiment,
                outcome.title,
                outcome.seed,
                outcome.host,
                outcome.variant,
                outcome.score,
                outcome.error,
                len(outcome.violations),
                msgspec.json.encode(outcome),
            ),
        )

    def find(self, key: str) -> Outcome | None:
        """Return the outcome of a run that was played to its end, or None."""
        row = self.connection.execute("select outcome from runs where key = ? and error = ''", (key,)).fetchone()
        return msgspec.json.decode(row[0], type=Outcome) if row else None

    def list_runs(self, experiment: str = "") -> Iterator[dict[str, Any]]:
        """Yield the columns of the stored runs except the encoded outcomes, the latest run last."""
        condition, values = (" where experiment = ?", (experiment,)) if experiment else ("", ())
        for row in self.connection.execute(
            f"select {', '.join(COLUMNS)} from runs{condition} order by at, key", values
        ):
            yield dict(zip(COLUMNS, row, strict=True))

    def find_by_prefix(self, prefix: str) -> Outcome | None:
        """Return the run whose key starts with ``prefix``; None if there is none or more than one."""
        rows = self.connection.execute(
            "select outcome from runs where substr(key, 1, ?) = ? limit 2", (len(prefix), prefix)
        ).fetchall()
        return msgspec.json.decode(rows[0][0], type=Outcome) if len(rows) == 1 and prefix else None

    def export(self, file: TextIO, experiment: str = "") -> int:
        """Write the stored runs as CSV; return the number of rows."""
        writer = csv.DictWriter(file, COLUMNS)
        writer.writeheader()
        rows = list(self.list_runs(experiment))
        writer.writerows(rows)
        return len(rows)
