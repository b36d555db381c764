"""Shows an account as text, and as one JSON object."""

from __future__ import annotations

from collections.abc import Iterable
from statistics import mean, median
from typing import Any

from scaledeal.lab.account.journeys import Attempt, Visit
from scaledeal.lab.account.ledger import UNKNOWN, Ledger, ranked
from scaledeal.lab.account.reading import Trace

SECONDS = (
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
    "lost most to",
)
ROWS = 24  # causes, relays or servers that a table shows


def table(head: tuple[str, ...], rows: Iterable[tuple[object, ...]]) -> list[str]:
    """Lay out rows under a head, numbers to the right."""
    cells = [[_cell(each) for each in row] for row in rows]
    width = [max(len(row[i]) for row in [list(head), *cells]) for i in range(len(head))]
    numbers = [all(_is_number(row[i]) for row in cells if row[i]) for i in range(len(head))]
    layout = list(zip(width, numbers, strict=True))
    return [
        "  ".join(c.rjust(w) if right else c.ljust(w) for c, (w, right) in zip(row, layout, strict=True)).rstrip()
        for row in [list(head), *cells]
    ]


def _is_number(text: str) -> bool:
    return text.translate(str.maketrans("", "", ".-%")).isdigit()


def _cell(value: object) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def as_object(ledger: Ledger, trace: Trace) -> dict[str, Any]:
    """Return everything as one object for JSON."""
    often, servers = ledger.storm()
    lost, asked = ledger.lost(), ledger.asked_for()
    p = ledger.prices
    firsts = max(1, p.firsts)
    return {
        "files": trace.files,
        "lines": len(trace.lines),
        "spoilt": trace.spoilt,
        "relays": ledger.relays,
        "span_s": round(ledger.end - ledger.start, 3),
        "worth_asked_s": round(asked, 1),
        "lost_share": round(sum(lost.values()) / asked, 4) if asked else 0.0,
        "unattributed_share": round(lost.get(UNKNOWN, 0.0) / (sum(lost.values()) or 1.0), 4),
        "lost": {cause: round(amount, 1) for cause, amount in lost.items()},
        "by_class": {name: {c: round(a, 1) for c, a in row.items()} for name, row in ledger.by_class().items()},
        "by_relay": {name: round(amount, 1) for name, amount in ledger.by_relay().items()},
        "prices": {
            "firsts": p.firsts,
            "again": p.again,
            "attempts": p.attempts,
            "wasted": p.wasted,
            "far": p.far,
            "moves": dict(p.moves),
            "probes": p.probes,
            "calls": p.calls,
            "per_first": {
                "far": round(p.far / firsts, 3),
                "moves": round(sum(p.moves.values()) / firsts, 3),
                "probes": round(p.probes / firsts, 2),
                "attempts": round(p.attempts / firsts, 2),
                "again": round(p.again / firsts, 2),
            },
        },
        "returns": dict(ledger.returns.most_common()),
        "came_times": {str(times): count for times, count in sorted(often.items())},
        "sent_to_again": dict(servers.most_common(ROWS)),
        "seconds": [_second(ledger, second) for second in sorted(ledger.seconds)],
    }


def _second(ledger: Ledger, second: int) -> dict[str, Any]:
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
    """Return the account for people: what was lost to what, then the storm, the prices and the seconds."""
    told = as_object(ledger, trace)
    total = sum(ledger.lost().values()) or 1.0
    asked = told["worth_asked_s"] or 1.0
    out = [
        f"{told['relays']} relays, {told['lines']} lines of {told['files']} files, "
        f"{told['spoilt']} could not be read, {told['span_s']:.1f} s",
        f"worth asked for {asked:.0f}, lost {told['lost_share']:.1%} of it, "
        f"of that {told['unattributed_share']:.1%} {UNKNOWN}",
        "",
    ]
    out += table(
        ("cause", "worth x s", "of lost", "of asked"),
        [(c, a, f"{a / total:.1%}", f"{a / asked:.1%}") for c, a in list(ledger.lost().items())[:ROWS]],
    )
    for name, row in told["by_class"].items():
        out += ["", f"class {name}: seconds"]
        out += table(("cause", "s"), [(cause, amount) for cause, amount in list(row.items())[:6]])
    out += ["", "why clients came again"]
    out += table(("cause", "times"), list(told["returns"].items())[:ROWS])
    out += ["", f"clients by number of visits: {told['came_times']}", "", "prices: counted, and for each first visit"]
    prices = told["prices"]
    counted = ("firsts", "again", "attempts", "wasted", "far", "probes", "calls")
    out += table(("what", "number"), [(what, prices[what]) for what in counted])
    out += [f"moves by rule: {prices['moves']}", f"for each first visit: {prices['per_first']}", "", "by second"]
    out += table(SECONDS, [_text_second(row) for row in told["seconds"]])
    return "\n".join(out)


def _text_second(row: dict[str, Any]) -> tuple[object, ...]:
    most = next((f"{cause} {amount:.0f}" for cause, amount in row["lost"].items()), "")
    seen = ["" if row[name] is None else row[name] for name in ("asked", "over", "cold")]
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
        *seen,
        most,
    )


def story(visits: list[Visit], start: float) -> str:
    """Return what one client met, at every relay that it came to."""
    out = []
    for visit in visits:
        stood = f" stood at {visit.server}" if visit.up == visit.began else ""
        out.append(
            f"{visit.began - start:8.3f}  {visit.relay}  id {visit.id} class {visit.cls}"
            + (" again" if visit.again else "")
            + stood
        )
        out += [f"{attempt.began - start:8.3f}    {_attempt(attempt)}" for attempt in visit.attempts]
        for late in visit.late:
            out.append(f"{late.sent - start:8.3f}    message late: {late.ms:.0f} ms")
        if visit.ended:
            out.append(
                f"{visit.ended - start:8.3f}    {visit.end.value}"
                + (f": {visit.why}" if visit.why else "")
                + (f", rung {visit.rung}" if visit.rung else "")
            )
    return "\n".join(out)


def _attempt(attempt: Attempt) -> str:
    told = "nothing known" if attempt.asked < 0 else f"asked {attempt.asked:.2f}, told {attempt.told_ms:.0f} ms ago"
    marks = "".join(f", {word}" for word, on in (("cold", attempt.cold), ("far", attempt.far)) if on)
    took = ((attempt.ended or attempt.began) - attempt.began) * 1000
    return (
        f"to {attempt.server} ({told}{marks}), rung {attempt.rung}: {attempt.result or 'still out'} after {took:.0f} ms"
    )
