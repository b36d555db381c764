"""Rules for the operators' file beyond the type of each value: bounds, and constraints between settings.

Each rule is a function of its own, so that one that lacks a value, whose fault is already reported, doesn't keep the
others from being checked.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

from scaledeal.hcl import Rule, RuleViolation, check_rules
from scaledeal.operator.types import Installation, Quic, QuicRule
from scaledeal.settings import Document


def rules(document: Document | None) -> tuple[Rule, ...]:
    """Return the rules for a whole file; ``document`` holds the platform's settings, if they are known."""
    return (_check_resume, partial(_check_quic, document))


def _check_resume(file: Installation) -> Iterator[RuleViolation]:
    if file.resume is not None and not 10_000_000_000 <= file.resume.expiry <= 3_600_000_000_000:
        yield "resume.expiry", "must lie between 10s and 1h"


def _check_quic(document: Document | None, file: Installation) -> Iterator[RuleViolation]:
    if file.quic is not None:
        yield from check_rules(
            (
                _check_listen,
                _check_max_paths,
                _check_idle,
                _check_rule_names,
                partial(_check_quic_rules, document),
                _check_reachable,
            ),
            file.quic,
        )


def _check_listen(quic: Quic) -> Iterator[RuleViolation]:
    host, colon, port = quic.listen.rpartition(":")
    if not (colon and host and port.isdecimal() and int(port) < 65536):
        yield "quic.listen", f"host:port was expected, not {quic.listen!r}"


def _check_max_paths(quic: Quic) -> Iterator[RuleViolation]:
    if quic.max_paths < quic.max_flows:
        yield "quic.max_paths", f"must not be below max_flows ({quic.max_flows}): each flow needs a path"


def _check_idle(quic: Quic) -> Iterator[RuleViolation]:
    if not 1_000_000_000 <= quic.idle <= 600_000_000_000:
        yield "quic.idle", "must lie between 1s and 10m"


def _check_rule_names(quic: Quic) -> Iterator[RuleViolation]:
    names: set[str] = set()
    for rule in quic.rule:
        place = f'quic.rule["{rule.name}"]'
        if not rule.name:
            yield place, 'a rule needs a name: rule "NAME" { ... }'
        if rule.name in names:
            yield place, "an earlier rule has the same name"
        names.add(rule.name)


def _check_quic_rules(document: Document | None, quic: Quic) -> Iterator[RuleViolation]:
    for rule in quic.rule:
        yield from check_rules(
            (_check_deadline, _check_sni, partial(_check_class, document), partial(_check_tenant, document)), rule
        )


def _place(rule: QuicRule) -> str:
    return f'quic.rule["{rule.name}"]'


def _check_deadline(rule: QuicRule) -> Iterator[RuleViolation]:
    if rule.deadline is not None and not 50_000_000 <= rule.deadline <= 60_000_000_000:
        yield f"{_place(rule)}.deadline", "must lie between 50ms and 1m"


def _check_sni(rule: QuicRule) -> Iterator[RuleViolation]:
    for pattern in rule.sni:
        if "*" in pattern and (not pattern.startswith("*.") or "*" in pattern[1:]):
            yield f"{_place(rule)}.sni", f"{pattern!r}: an asterisk may only replace the first label, as in *.name"


def _check_class(document: Document | None, rule: QuicRule) -> Iterator[RuleViolation]:
    if document is None:
        return
    classes = {entry.name: entry for entry in document.classes}
    if rule.class_name not in classes:
        yield f"{_place(rule)}.class", f"no class {rule.class_name!r}; known classes are {', '.join(classes)}"
    elif rule.deadline is not None and rule.deadline > (longest := int(classes[rule.class_name].deadline)):
        # The client must get its final answer before it gives up, which it does at the class's deadline.
        yield f"{_place(rule)}.deadline", f"is later than the class's deadline of {longest / 1e6:g} ms"


def _check_tenant(document: Document | None, rule: QuicRule) -> Iterator[RuleViolation]:
    if document is not None and rule.tenant >= (tenants := max(1, len(document.accounts))):
        yield f"{_place(rule)}.tenant", f"there are only {tenants} tenants, counted from 0"


def _check_reachable(quic: Quic) -> Iterator[RuleViolation]:
    for number, rule in enumerate(quic.rule[:-1]):
        if not rule.sni and not rule.alpn:
            yield f'quic.rule["{quic.rule[number + 1].name}"]', f"never reached: rule {rule.name!r} matches everything"
            return
