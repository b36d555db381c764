"""The two roles of a relay process beside another of the same relay: as the new process, and as the old one."""

from __future__ import annotations

import logging
from collections.abc import Callable

from scaledeal.net.admission import RESERVED_DESCRIPTORS
from scaledeal.net.carry import Carrier, resume
from scaledeal.net.driver import Driver
from scaledeal.net.handover import Claim, Offer, OfferLocation
from scaledeal.net.handover_messages import EstablishedConnection, HandedConnection
from scaledeal.net.inherited import InheritedConnections, established_connections
from scaledeal.net.ports import Port, Reactor
from scaledeal.net.request_ids import Authority, Decide
from scaledeal.net.user_agent import ClientContext

log = logging.getLogger("scaledeal.succession")


class Succession:
    """Owns the claim on an old process's socket, the offer to a new one, and all that the two processes exchange.

    Implements ``ClaimingRelay`` and ``OfferingRelay`` of ``scaledeal.net.handover``.
    """

    def __init__(
        self,
        reactor: Reactor,
        location: OfferLocation | None,
        driver: Driver,
        client_context: ClientContext,
        claim_finished: Callable[[int | None], None],
        accept_clients: Callable[[], None],
    ) -> None:
        self.driver = driver
        self.client_context = client_context
        self.admission = client_context.admission
        self.claim_finished = claim_finished  # takes over the listening descriptor; None if no process hands one over
        self.accept_clients = accept_clients  # called once the process that handed it over is gone
        self.request_ids = driver.request_ids
        self.inherited = InheritedConnections(driver)
        self.port: Port | None = None  # the listening port, from when it accepts clients
        self.replaced = False  # a new version accepts clients in place of this process
        self.claim = Claim(reactor, location, self, self.request_ids.used) if location else None
        self.offer = Offer(reactor, location, self, self.request_ids.used) if location else None
        self.carrier = Carrier(driver, self.offer) if self.offer else None

    def begin(self) -> None:
        """Look for an old process, and claim its listening socket."""
        if self.claim is None:
            self.claim_finished(None)
        else:
            self.claim.try_next_offer()

    def serve(self, port: Port) -> None:
        """Tell the old process that clients are accepted here, and offer the listening socket to a new process."""
        self.port = port
        if self.claim is not None:
            self.claim.send_serving()
        if self.offer is not None:
            self.offer.open()

    def hand_over(self) -> None:
        """Start to hand the established connections to the new version, if one serves."""
        if self.carrier is not None and self.replaced:
            self.carrier.run_round()

    def close(self) -> None:
        """Withdraw the offer and hand over no more, as this process ends."""
        self.port = None
        if self.carrier is not None and self.offer is not None:
            self.carrier.stop()
            if self.offer.successor is not None:
                self.offer.successor.send_relay_state()
            self.offer.stopListening()

    # As the old process

    def listening_descriptor(self) -> int:
        """Return the descriptor of the listening socket."""
        assert self.port is not None, "the socket is offered before the relay listens"
        return self.port.fileno()

    def spare_descriptors(self) -> int:
        """Return how many descriptors a successor may hold."""
        return self.admission.spare()

    def established_connections(self) -> dict[str, EstablishedConnection]:
        """Return this process's established connections, by handle."""
        return established_connections(self.driver)

    def successor_changed(self, connected: bool, serving: bool) -> None:
        """Stop accepting clients once a successor serves, and accept them again if it is lost."""
        self.admission.lent = RESERVED_DESCRIPTORS if connected else 0
        if self.carrier is not None and not connected:
            self.carrier.successor_lost()
            self.request_ids.successor_lost()
        if self.port is None or serving == self.replaced:
            return
        self.replaced = serving
        if serving:
            log.info("a new version serves: %d requests and connections stay here", len(self.driver.transactions))
            self.port.stopReading()
        else:
            log.warning("the new version is gone: clients are accepted here again")
            self.port.startReading()

    def connection_taken(self, handle: str) -> None:
        """Release a connection that the successor has confirmed."""
        if self.carrier is not None:
            self.carrier.connection_taken(handle)

    def id_claimed(self, request_id: str, decide: Decide) -> None:
        """Decide whether the successor may begin a request with this id; ``decide`` is called once."""
        self.request_ids.claim_for_successor(request_id, decide)

    def id_released(self, request_id: str) -> None:
        """Take back an id that the successor was granted, or that came with a connection."""
        self.request_ids.release_for_successor(request_id)

    # As the new process

    def authority_changed(self, authority: Authority | None) -> None:
        """Ask the old process for each id from now on; None once it is gone."""
        self.request_ids.authority = authority

    def decide_claims(self) -> None:
        """Wait no longer for the old process to decide on ids, as this process ends."""
        if self.claim is not None and self.claim.predecessor is not None:
            self.claim.predecessor.ids.lost()

    def descriptors_left(self, count: int | None) -> None:
        """Take how many descriptors the old process leaves to this one; None once it is gone."""
        # The two processes together may hold no more descriptors than one relay may.
        self.admission.lent = max(0, self.admission.limit - count) if count is not None else 0
        if count is None:
            self.inherited.remove_all()
            # If the old process died before this one served, nobody else accepts the clients in the queue.
            self.accept_clients()

    def connection_reported(self, connection: EstablishedConnection) -> None:
        """Report a connection of the old process, or its changed load, to the module."""
        self.inherited.update(connection)

    def connection_ended(self, handle: str) -> None:
        """Report to the module that a connection of the old process has ended."""
        self.inherited.remove(handle)

    def take_connection(self, connection: HandedConnection, descriptors: tuple[int, int]) -> bool:
        """Go on with a connection of the old process, and return whether that succeeded."""
        self.inherited.remove(connection.handle)
        return resume(self.client_context, self.driver, connection, descriptors)
