"""Maps a ClientHello to a request for the decision module, by the operators' rules."""

from __future__ import annotations

import msgspec

from scaledeal.operator.types import Quic, QuicRule
from scaledeal.quic.ids.tokens import Source
from scaledeal.quic.wire.hello import ClientHello


class RuleMatch(msgspec.Struct, frozen=True):
    """The request that a rule yields for a ClientHello, without its arrival time; ``timeout_ns`` counts from that."""

    request_class: int
    timeout_ns: int
    key: str
    group: str
    tenant: int
    rule: str


class RuleMatcher:
    """Matches ClientHellos against the rules; ``classes`` maps a class's name to its number and deadline (ns)."""

    def __init__(self, quic: Quic, classes: dict[str, tuple[int, int]]) -> None:
        self.rules = quic.rule
        self.classes = classes

    def match(self, hello: ClientHello, source: Source, dcid: bytes) -> RuleMatch | None:
        """Return the request of the first matching rule; None if none matches or its class is not configured."""
        rule = next((candidate for candidate in self.rules if _matches(candidate, hello)), None)
        if rule is None or rule.class_name not in self.classes:
            return None
        number, class_timeout_ns = self.classes[rule.class_name]
        timeout_ns = min(int(rule.deadline), class_timeout_ns) if rule.deadline is not None else class_timeout_ns
        return RuleMatch(
            number, timeout_ns, _key(rule, hello, source, dcid), _group(rule, hello), rule.tenant, rule.name
        )


def _matches(rule: QuicRule, hello: ClientHello) -> bool:
    server_name_matches = not rule.sni or any(name_matches(pattern, hello.server_name) for pattern in rule.sni)
    return server_name_matches and (not rule.alpn or any(protocol in hello.protocols for protocol in rule.alpn))


def name_matches(pattern: str, name: str) -> bool:
    """Tell whether a server name equals the pattern, or is one label below ``*.NAME`` (RFC 6125 section 6.4.3)."""
    pattern = pattern.lower()
    if pattern.startswith("*."):
        return name.partition(".")[2] == pattern[2:] and bool(name.partition(".")[0])
    return name == pattern


def _key(rule: QuicRule, hello: ClientHello, source: Source, dcid: bytes) -> str:
    if rule.key_from == "sni":
        return hello.server_name
    # The address without its port, so that all flows of a client rank the servers alike.
    return source[0] if rule.key_from == "address" else dcid.hex()


def _group(rule: QuicRule, hello: ClientHello) -> str:
    if rule.group_from == "none":
        return ""
    return hello.server_name if rule.group_from == "sni" else hello.server_name.partition(".")[0]
