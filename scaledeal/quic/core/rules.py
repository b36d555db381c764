"""What a ClientHello asks the decision module for, by the operators' rules."""

from __future__ import annotations

import msgspec

from scaledeal.operator.types import Quic, QuicRule
from scaledeal.quic.ids.tokens import Source
from scaledeal.quic.wire.hello import ClientHello


class Wish(msgspec.Struct, frozen=True):
    """A request but for its moment; ``deadline`` is a span in ns."""

    request_class: int
    deadline: int
    key: str
    group: str
    tenant: int
    rule: str


class Placing:
    """The rules, with the classes' numbers and give-up times (ns)."""

    def __init__(self, quic: Quic, classes: dict[str, tuple[int, int]]) -> None:
        self.rules = quic.rule
        self.classes = classes

    def wish(self, hello: ClientHello, source: Source, dcid: bytes) -> Wish | None:
        """Return what the first matching rule asks for; None where none matches."""
        rule = next((each for each in self.rules if _matches(each, hello)), None)
        if rule is None or rule.class_name not in self.classes:
            return None
        number, longest = self.classes[rule.class_name]
        deadline = min(int(rule.deadline), longest) if rule.deadline is not None else longest
        return Wish(number, deadline, _key(rule, hello, source, dcid), _group(rule, hello), rule.tenant, rule.name)


def _matches(rule: QuicRule, hello: ClientHello) -> bool:
    named = not rule.sni or any(name_matches(pattern, hello.server_name) for pattern in rule.sni)
    return named and (not rule.alpn or any(each in hello.protocols for each in rule.alpn))


def name_matches(pattern: str, name: str) -> bool:
    """Tell whether a server name is this one, or one label below ``*.NAME`` (RFC 6125 section 6.4.3)."""
    pattern = pattern.lower()
    if pattern.startswith("*."):
        return name.partition(".")[2] == pattern[2:] and bool(name.partition(".")[0])
    return name == pattern


def _key(rule: QuicRule, hello: ClientHello, source: Source, dcid: bytes) -> str:
    if rule.key_from == "sni":
        return hello.server_name
    # An address without its port: all of a client's flows rank the servers alike.
    return source[0] if rule.key_from == "address" else dcid.hex()


def _group(rule: QuicRule, hello: ClientHello) -> str:
    if rule.group_from == "none":
        return ""
    return hello.server_name if rule.group_from == "sni" else hello.server_name.partition(".")[0]
