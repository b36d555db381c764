"""What a file must keep beyond the form of its values: the rules of the relay, and of one setting by another.

Each rule is a function of its own, so that one that lacks a value, which was told already, silences no other.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

from scaledeal.hcl import Breach, Rule, told
from scaledeal.operator.types import Installation, Quic, QuicRule
from scaledeal.settings import Document


def rules(document: Document | None) -> tuple[Rule, ...]:
    """Return the rules of a whole file; ``document`` is what the platform sets, where it is known."""
    return (_resume, partial(_quic, document))


def _resume(file: Installation) -> Iterator[Breach]:
    if file.resume is not None and not 10_000_000_000 <= file.resume.expiry <= 3_600_000_000_000:
        yield "resume.expiry", "must lie between 10s and 1h"


def _quic(document: Document | None, file: Installation) -> Iterator[Breach]:
    if file.quic is not None:
        yield from told((_listen, _paths, _idle, _names, partial(_each, document), _reached), file.quic)


def _listen(quic: Quic) -> Iterator[Breach]:
    host, colon, port = quic.listen.rpartition(":")
    if not (colon and host and port.isdecimal() and int(port) < 65536):
        yield "quic.listen", f"host:port was expected, not {quic.listen!r}"


def _paths(quic: Quic) -> Iterator[Breach]:
    if quic.max_paths < quic.max_flows:
        yield "quic.max_paths", f"must not be below max_flows ({quic.max_flows}): each flow needs a path"


def _idle(quic: Quic) -> Iterator[Breach]:
    if not 1_000_000_000 <= quic.idle <= 600_000_000_000:
        yield "quic.idle", "must lie between 1s and 10m"


def _names(quic: Quic) -> Iterator[Breach]:
    names: set[str] = set()
    for each in quic.rule:
        place = f'quic.rule["{each.name}"]'
        if not each.name:
            yield place, 'a rule needs a name: rule "NAME" { ... }'
        if each.name in names:
            yield place, "a rule of this name stands above"
        names.add(each.name)


def _each(document: Document | None, quic: Quic) -> Iterator[Breach]:
    for each in quic.rule:
        yield from told((_deadline, _sni, partial(_class, document), partial(_tenant, document)), each)


def _place(each: QuicRule) -> str:
    return f'quic.rule["{each.name}"]'


def _deadline(each: QuicRule) -> Iterator[Breach]:
    if each.deadline is not None and not 50_000_000 <= each.deadline <= 60_000_000_000:
        yield f"{_place(each)}.deadline", "must lie between 50ms and 1m"


def _sni(each: QuicRule) -> Iterator[Breach]:
    for pattern in each.sni:
        if "*" in pattern and (not pattern.startswith("*.") or "*" in pattern[1:]):
            yield f"{_place(each)}.sni", f"{pattern!r}: an asterisk may only stand for the first label, as in *.name"


def _class(document: Document | None, each: QuicRule) -> Iterator[Breach]:
    if document is None:
        return
    classes = {known.name: known for known in document.classes}
    if each.class_name not in classes:
        yield f"{_place(each)}.class", f"no class {each.class_name!r}; there are {', '.join(classes)}"
    elif each.deadline is not None and each.deadline > (longest := int(classes[each.class_name].deadline)):
        # The final answer is owed before the client's give-up time, which is the class's deadline.
        yield f"{_place(each)}.deadline", f"is past the class's give-up time of {longest / 1e6:g} ms"


def _tenant(document: Document | None, each: QuicRule) -> Iterator[Breach]:
    if document is not None and each.tenant >= (tenants := max(1, len(document.accounts))):
        yield f"{_place(each)}.tenant", f"there are only {tenants} tenants, counted from 0"


def _reached(quic: Quic) -> Iterator[Breach]:
    for number, each in enumerate(quic.rule[:-1]):
        if not each.sni and not each.alpn:
            yield f'quic.rule["{quic.rule[number + 1].name}"]', f"never reached: rule {each.name!r} takes everything"
            return
