"""Carries connections that stand from the old process of a relay to the new one, sockets and all.

The old process reads nothing of them once they are handed, and lets go of them when the new one has
them; so no line is lost or said twice, and neither side of the connection notices.
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
from scaledeal.net.handover import Handed, Offer
from scaledeal.net.ports import Reactor, Timer
from scaledeal.net.transaction import Transaction
from scaledeal.net.user_agent import ClientContext, UserAgent, client_request

log = logging.getLogger("scaledeal.carry")

STEP = 20_000_000  # ns between two rounds
AT_ONCE = 8  # connections handed over in one, so that lines on the others are not held up


class Carrier:
    """The old side: owns what is handed over until the new process has it."""

    def __init__(self, driver: Driver, offer: Offer) -> None:
        self.driver = driver
        self.offer = offer
        self.out: dict[str, Transaction] = {}
        self._timer: Timer | None = None

    def round(self) -> None:
        """Hand over some of what stands; what comes up or falls quiet later goes with a later round."""
        successor = self.offer.successor
        if successor is None:
            return
        self._timer = self.driver.later(STEP, self.round)
        handed = 0
        for transaction in self.driver.established():
            if handed < AT_ONCE and (carried := transaction.hand_over()):
                handed += 1
                self.out[transaction.handle] = transaction
                load = self.driver.load_lines.loads.get(transaction.handle, 0.0)
                successor.hand(Handed(transaction.handle, transaction.server, load, carried.state), carried.descriptors)

    def taken(self, handle: str) -> None:
        """Hear that the new process has one."""
        if transaction := self.out.pop(handle, None):
            transaction.handover_completed()

    def lost(self) -> None:
        """Hear that the new process is gone: what it has not taken goes on here."""
        self.stop()
        for transaction in self.out.values():
            transaction.handover_failed()
        self.out.clear()

    def stop(self) -> None:
        """Hand nothing more over."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


class _Given(Factory):
    noisy = False

    def __init__(self, protocol: Protocol) -> None:
        self.protocol_given = protocol

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802, D102
        return self.protocol_given


def _adopt(reactor: Reactor, descriptor: int, protocol: Protocol) -> None:
    with socket.socket(fileno=os.dup(descriptor)) as sock:
        family = sock.family
    reactor.adoptStreamConnection(descriptor, family, _Given(protocol))


def resume(client_context: ClientContext, driver: Driver, told: Handed, descriptors: tuple[int, int]) -> bool:
    """Go on with a connection that was handed over; False where that can't be done."""
    try:
        paused = msgspec.json.decode(told.state, type=wording.HandoverState)
        read = wording.read_open(paused.line)
        number = client_context.classes.get(read.get("c")) if read else None
        tenant = client_context.tenant_number(read) if read else None
        if read is None or number is None or tenant is None:
            raise ValueError(f"no request of this relay: {paused.line!r}")
        agent = UserAgent(client_context)
        _adopt(client_context.attempt_context.reactor, descriptors[0], agent)
    except (msgspec.MsgspecError, ValueError, OSError) as error:
        log.warning("a connection that was handed over is not taken: %s", error)
        return False
    transaction = driver.resume(client_request(read, number, tenant, driver.now()), agent, told.server, told.load)
    current = LineAttempt(client_context.attempt_context, paused.line, agent, transaction)
    transaction.current = current
    agent.resumed(read, transaction, current)
    current.resumed(paused.asked_at)
    _adopt(client_context.attempt_context.reactor, descriptors[1], current.link)
    agent.set_sink(current.link)
    current.link.set_sink(agent)
    agent.dataReceived(paused.from_client)
    current.link.dataReceived(paused.from_server)
    return True
