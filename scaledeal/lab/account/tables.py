"""Formats an account as text and as one JSON object."""

from __future__ import annotations

from collections.abc import Iterable
from statistics import mean, median
from typing import Any

from scaledeal.lab.account.client_histories import Attempt, RequestHistory
from scaledeal.lab.account.ledger import UNATTRIBUTED, Ledger, ranked
from scaledeal.lab.account.reading import Trace

SECOND_COLUMNS = (
    "s",
    "new",
    "again",
    "refused",
    "moved",
    "broken",
    "sent",
    "wasted",
    "probes",
    "rung",
    "asked",
    "over 1",
    "cold",
    "largest loss",
)
MAX_ROWS = 24  # causes, relays or servers that a table shows


def table(header: tuple[str, ...], rows: Iterable[tuple[object, ...]]) -> list[str]:
    """Return the lines of a table; columns of numbers are aligned to the right."""
    cells = [[_cell(value) for value in row] for row in rows]
    widths = [max(len(row[i]) for row in [list(header), *cells]) for i in range(len(header))]
    numeric = [all(_is_number(row[i]) for row in cells if row[i]) for i in range(len(header))]
    layout = list(zip(widths, numeric, strict=True))
    return [
        "  ".join(
            cell.rjust(width) if right else cell.ljust(width) for cell, (width, right) in zip(row, layout, strict=True)
        ).rstrip()
        for row in [list(header), *cells]
    ]


def _is_number(text: str) -> bool:
    return text.translate(str.maketrans("", "", ".-%")).isdigit()


def _cell(value: object) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def as_object(ledger: Ledger, trace: Trace) -> dict[str, Any]:
    """Return the whole account as one object for JSON."""
    request_counts, servers = ledger.count_returns()
    lost, wanted_worth_s = ledger.lost_by_cause(), ledger.wanted_worth_s()
    prices = ledger.prices
    firsts = max(1, prices.firsts)
    return {
        "files": trace.files,
        "lines": len(trace.lines),
        "spoilt": trace.spoilt,
        "relays": ledger.relays,
        "span_s": round(ledger.end - ledger.start, 3),
        "worth_asked_s": round(wanted_worth_s, 1),
        "lost_share": round(sum(lost.values()) / wanted_worth_s, 4) if wanted_worth_s else 0.0,
        "unattributed_share": round(lost.get(UNATTRIBUTED, 0.0) / (sum(lost.values()) or 1.0), 4),
        "lost": {cause: round(amount, 1) for cause, amount in lost.items()},
        "by_class": {
            name: {cause: round(amount, 1) for cause, amount in row.items()}
            for name, row in ledger.lost_by_class().items()
        },
        "by_relay": {name: round(amount, 1) for name, amount in ledger.lost_by_relay().items()},
        "prices": {
            "firsts": prices.firsts,
            "again": prices.again,
            "attempts": prices.attempts,
            "wasted": prices.wasted,
            "far": prices.far,
            "moves": dict(prices.moves),
            "probes": prices.probes,
            "calls": prices.calls,
            "per_first": {
                "far": round(prices.far / firsts, 3),
                "moves": round(sum(prices.moves.values()) / firsts, 3),
                "probes": round(prices.probes / firsts, 2),
                "attempts": round(prices.attempts / firsts, 2),
                "again": round(prices.again / firsts, 2),
            },
        },
        "returns": dict(ledger.return_causes.most_common()),
        "came_times": {str(times): count for times, count in sorted(request_counts.items())},
        "sent_to_again": dict(servers.most_common(MAX_ROWS)),
        "seconds": [_second_object(ledger, second) for second in sorted(ledger.seconds)],
    }


def _second_object(ledger: Ledger, second: int) -> dict[str, Any]:
    row = ledger.seconds[second]
    return {
        "s": second - int(ledger.start),
        "new": row.new,
        "again": row.again,
        "refused": row.refused,
        "moved": row.moved,
        "broken": row.broken,
        "attempts": row.attempts,
        "wasted": row.wasted,
        "probes": row.probes,
        "rung": round(mean(row.rungs), 2) if row.rungs else 0.0,
        "asked": round(median(row.asked), 2) if row.asked else None,
        "over": round(mean(a > 1 for a in row.asked), 2) if row.asked else None,
        "cold": round(median(row.cold), 2) if row.cold else None,
        "lost": {cause: round(amount, 1) for cause, amount in ranked(row.lost).items()},
    }


def as_text(ledger: Ledger, trace: Trace) -> str:
    """Return the account as text: losses by cause and class, returning clients, prices, and a row for each second."""
    account = as_object(ledger, trace)
    total = sum(ledger.lost_by_cause().values()) or 1.0
    wanted_worth_s = account["worth_asked_s"] or 1.0
    lines = [
        f"{account['relays']} relays, {account['lines']} lines of {account['files']} files, "
        f"{account['spoilt']} could not be decoded, {account['span_s']:.1f} s",
        f"worth-seconds wanted {wanted_worth_s:.0f}, lost {account['lost_share']:.1%} of it, "
        f"of that {account['unattributed_share']:.1%} {UNATTRIBUTED}",
        "",
    ]
    lines += table(
        ("cause", "worth x s", "of lost", "of wanted"),
        [
            (cause, amount, f"{amount / total:.1%}", f"{amount / wanted_worth_s:.1%}")
            for cause, amount in list(ledger.lost_by_cause().items())[:MAX_ROWS]
        ],
    )
    for name, row in account["by_class"].items():
        lines += ["", f"class {name}: seconds"]
        lines += table(("cause", "s"), [(cause, amount) for cause, amount in list(row.items())[:6]])
    lines += ["", "why clients came again"]
    lines += table(("cause", "times"), list(account["returns"].items())[:MAX_ROWS])
    lines += [
        "",
        f"clients by number of requests: {account['came_times']}",
        "",
        "prices: totals, and per first request",
    ]
    prices = account["prices"]
    counted = ("firsts", "again", "attempts", "wasted", "far", "probes", "calls")
    lines += table(("what", "number"), [(name, prices[name]) for name in counted])
    lines += [f"moves by rule: {prices['moves']}", f"per first request: {prices['per_first']}", "", "by second"]
    lines += table(SECOND_COLUMNS, [_second_cells(row) for row in account["seconds"]])
    return "\n".join(lines)


def _second_cells(row: dict[str, Any]) -> tuple[object, ...]:
    largest_loss = next((f"{cause} {amount:.0f}" for cause, amount in row["lost"].items()), "")
    load_cells = ["" if row[name] is None else row[name] for name in ("asked", "over", "cold")]
    return (
        row["s"],
        row["new"],
        row["again"],
        row["refused"],
        row["moved"],
        row["broken"],
        row["attempts"],
        row["wasted"],
        row["probes"],
        row["rung"],
        *load_cells,
        largest_loss,
    )


def format_history(requests: list[RequestHistory], start: float) -> str:
    """Return the history of one client over all relays as text; times are seconds since ``start``."""
    lines = []
    for request in requests:
        connected = f" connected at {request.server}" if request.connected_at == request.began else ""
        lines.append(
            f"{request.began - start:8.3f}  {request.relay}  id {request.client_request_id} class {request.cls}"
            + (" again" if request.returning else "")
            + connected
        )
        lines += [f"{attempt.began - start:8.3f}    {_format_attempt(attempt)}" for attempt in request.attempts]
        for message in request.late_messages:
            lines.append(f"{message.sent - start:8.3f}    message late: {message.delay_ms:.0f} ms")
        if request.ended:
            lines.append(
                f"{request.ended - start:8.3f}    {request.end.value}"
                + (f": {request.reason}" if request.reason else "")
                + (f", rung {request.rung}" if request.rung else "")
            )
    return "\n".join(lines)


def _format_attempt(attempt: Attempt) -> str:
    report = (
        "no report"
        if attempt.load_ratio < 0
        else f"asked {attempt.load_ratio:.2f} of capacity, reported {attempt.report_age_ms:.0f} ms ago"
    )
    flags = "".join(f", {name}" for name, is_set in (("cold", attempt.cold), ("far", attempt.far)) if is_set)
    took_ms = ((attempt.ended or attempt.began) - attempt.began) * 1000
    return (
        f"to {attempt.server} ({report}{flags}), rung {attempt.rung}: "
        f"{attempt.result or 'still out'} after {took_ms:.0f} ms"
    )
