"""Keeps results where later runs find them: one SQLite file, written as each run ends.

A run is named by what it is made of, so one that is there already is not played again, and a sweep that was stopped
goes on from where it was. SQLite is Python's own, survives kill -9 in its write-ahead log and lets several sweeps
write; DuckDB was weighed: a column store pays past some millions of rows, and allows one writing process only.
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
    """A file that can't serve as a store; the text says why."""


class Store:
    """The results of all runs."""

    def __init__(self, path: Path) -> None:
        try:
            self.base = sqlite3.connect(path, timeout=30.0, isolation_level=None)
            self.base.execute("pragma journal_mode = wal")
            self.base.execute(_TABLE)
        except sqlite3.Error as error:
            raise StoreError(f"{path}: {error}") from None

    def close(self) -> None:
        """Close the file."""
        self.base.close()

    def put(self, outcome: Outcome, experiment: str) -> None:
        """Keep one outcome; one that could not be played is played anew by the next sweep."""
        self.base.execute(
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
        """Return a run that was played to its end."""
        row = self.base.execute("select outcome from runs where key = ? and error = ''", (key,)).fetchone()
        return msgspec.json.decode(row[0], type=Outcome) if row else None

    def listed(self, experiment: str = "") -> Iterator[dict[str, Any]]:
        """Yield what is kept, the latest last, without the outcomes themselves."""
        where, values = (" where experiment = ?", (experiment,)) if experiment else ("", ())
        for row in self.base.execute(f"select {', '.join(COLUMNS)} from runs{where} order by at, key", values):
            yield dict(zip(COLUMNS, row, strict=True))

    def whole(self, start: str) -> Outcome | None:
        """Return the run whose key begins so; None where there is none, or more than one."""
        rows = self.base.execute(
            "select outcome from runs where substr(key, 1, ?) = ? limit 2", (len(start), start)
        ).fetchall()
        return msgspec.json.decode(rows[0][0], type=Outcome) if len(rows) == 1 and start else None

    def export(self, to: TextIO, experiment: str = "") -> int:
        """Write what is kept as CSV; return how many rows."""
        writer = csv.DictWriter(to, COLUMNS)
        writer.writeheader()
        rows = list(self.listed(experiment))
        writer.writerows(rows)
        return len(rows)
