"""Hands established connections, with their sockets, from the old process of a relay to the new one.

The old process stops reading a connection's sockets when it hands them over, and closes its own descriptors once the
new process has confirmed that it has the connection. No line is lost or repeated, and neither the client nor the
application server notices the change.
"""

from __future__ import annotations

import logging
import os
import socket
from typing import Any

import msgspec
from twisted.internet.protocol import Factory, Protocol

from scaledeal.net import wording
from scaledeal.net.attempt import LineAttempt
from scaledeal.net.driver import Driver
from scaledeal.net.handover import Offer
from scaledeal.net.handover_messages import HandedConnection
from scaledeal.net.ports import Reactor, Timer
from scaledeal.net.transaction import Transaction
from scaledeal.net.user_agent import ClientContext, UserAgent, client_request

log = logging.getLogger("scaledeal.carry")

ROUND_INTERVAL_NS = 20_000_000
CONNECTIONS_PER_ROUND = 8  # more at once would delay the lines of the other connections


class Carrier:
    """The old process's side: owns each connection that is handed over until the new process has confirmed it."""

    def __init__(self, driver: Driver, offer: Offer) -> None:
        self.driver = driver
        self.offer = offer
        self.unconfirmed: dict[str, Transaction] = {}
        self._timer: Timer | None = None

    def run_round(self) -> None:
        """Hand over some established connections, and schedule the next round.

        Later rounds take those that are established, or have no lines under way any more, only by then. Without a
        successor this does nothing.
        """
        successor = self.offer.successor
        if successor is None:
            return
        self._timer = self.driver.later(ROUND_INTERVAL_NS, self.run_round)
        handed = 0
        for transaction in self.driver.established():
            if handed < CONNECTIONS_PER_ROUND and (carried := transaction.hand_over()):
                handed += 1
                self.unconfirmed[transaction.handle] = transaction
                load = self.driver.load_lines.loads.get(transaction.handle, 0.0)
                successor.hand_over(
                    HandedConnection(transaction.handle, transaction.server, load, carried.state), carried.descriptors
                )

    def connection_taken(self, handle: str) -> None:
        """Release a connection that the new process has confirmed."""
        if transaction := self.unconfirmed.pop(handle, None):
            transaction.handover_completed()

    def successor_lost(self) -> None:
        """Stop, as the new process is gone, and go on here with each connection that it has not confirmed."""
        self.stop()
        for transaction in self.unconfirmed.values():
            transaction.handover_failed()
        self.unconfirmed.clear()

    def stop(self) -> None:
        """Hand over no more connections."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


class _SingleProtocolFactory(Factory):
    """Returns the protocol that was made for an adopted connection."""

    noisy = False

    def __init__(self, protocol: Protocol) -> None:
        self.adopting_protocol = protocol

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802, D102
        return self.adopting_protocol


def _adopt(reactor: Reactor, descriptor: int, protocol: Protocol) -> None:
    """Connect a protocol to a duplicate of a connected socket; the descriptor remains the caller's."""
    with socket.socket(fileno=os.dup(descriptor)) as sock:
        family = sock.family
    reactor.adoptStreamConnection(descriptor, family, _SingleProtocolFactory(protocol))


def resume(
    client_context: ClientContext, driver: Driver, connection: HandedConnection, descriptors: tuple[int, int]
) -> bool:
    """Go on with a connection that was handed over, and return whether that succeeded.

    ``descriptors`` are the client's socket and the application server's; they remain the caller's.
    """
    try:
        paused = msgspec.json.decode(connection.state, type=wording.HandoverState)
        open_line = wording.read_open(paused.line)
        class_number = client_context.classes.get(open_line.get("c")) if open_line else None
        tenant = client_context.tenant_number(open_line) if open_line else None
        if open_line is None or class_number is None or tenant is None:
            raise ValueError(f"first line does not fit this relay's settings: {paused.line!r}")
        agent = UserAgent(client_context)
        _adopt(client_context.attempt_context.reactor, descriptors[0], agent)
    except (msgspec.MsgspecError, ValueError, OSError) as error:
        log.warning("connection from the old process not taken: %s", error)
        return False
    transaction = driver.resume(
        client_request(open_line, class_number, tenant, driver.now()), agent, connection.server, connection.load
    )
    current = LineAttempt(client_context.attempt_context, paused.line, agent, transaction)
    transaction.current = current
    agent.resumed(open_line, transaction, current)
    current.resumed(paused.asked_at)
    _adopt(client_context.attempt_context.reactor, descriptors[1], current.link)
    agent.relay_with(current.link)
    agent.dataReceived(paused.from_client)
    current.link.dataReceived(paused.from_server)
    return True
