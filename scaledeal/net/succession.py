"""Two processes of one relay: what this one does as the new one, and what it does as the old one."""

from __future__ import annotations

import logging
from collections.abc import Callable

from scaledeal.net.admission import RESERVED_DESCRIPTORS
from scaledeal.net.carry import Carrier, resume
from scaledeal.net.driver import Driver
from scaledeal.net.handover import Claim, Handed, Offer, Place
from scaledeal.net.inherited import Inherited, Standing, standing
from scaledeal.net.ports import Port, Reactor
from scaledeal.net.user_agent import ClientContext

log = logging.getLogger("scaledeal.succession")


class Succession:
    """Owns the claim on an old process's socket, the offer to a new one, and what passes between them."""

    def __init__(
        self,
        reactor: Reactor,
        place: Place | None,
        driver: Driver,
        client_context: ClientContext,
        come: Callable[[int | None], None],
        alone: Callable[[], None],
    ) -> None:
        self.driver = driver
        self.client_context = client_context
        self.admission = client_context.admission
        self.come = come  # takes the listening descriptor, and owns it; None where nobody hands one over
        self.alone = alone  # hears that the process that handed it over is gone
        self.inherited = Inherited(driver)
        self.port: Port | None = None  # where clients are taken, once they are
        self.replaced = False  # a new version serves
        self.claim = Claim(reactor, place, self) if place else None
        self.offer = Offer(reactor, place, self) if place else None
        self.carrier = Carrier(driver, self.offer) if self.offer else None

    def begin(self) -> None:
        """Look for an old process."""
        if self.claim is None:
            self.come(None)
        else:
            self.claim.begin()

    def serve(self, port: Port) -> None:
        """Tell the old process that clients are taken here, and offer that to a new one."""
        self.port = port
        if self.claim is not None:
            self.claim.serving()
        if self.offer is not None:
            self.offer.open()

    def hand_over(self) -> None:
        """Hand what stands here to the new version."""
        if self.carrier is not None and self.replaced:
            self.carrier.round()

    def close(self) -> None:
        """End it all: this process is to go."""
        self.port = None
        if self.carrier is not None and self.offer is not None:
            self.carrier.stop()
            self.offer.stopListening()

    # As the old process

    def listening(self) -> int:
        """Return the descriptor of the listening socket."""
        assert self.port is not None, "offered before it listened"
        return self.port.fileno()

    def spare(self) -> int:
        """Return how many descriptors a successor may hold."""
        return self.admission.spare()

    def standing(self) -> dict[str, Standing]:
        """Return the connections that stand here."""
        return standing(self.driver)

    def succeeded(self, there: bool, serving: bool) -> None:
        """Take no more clients once a successor serves; take them again if it is lost."""
        self.admission.lent = RESERVED_DESCRIPTORS if there else 0
        if self.carrier is not None and not there:
            self.carrier.lost()
        if self.port is None or serving == self.replaced:
            return
        self.replaced = serving
        if serving:
            log.info("a new version serves: %d requests and connections stay here", len(self.driver.transactions))
            self.port.stopReading()
        else:
            log.warning("the new version is gone: clients are taken here again")
            self.port.startReading()

    def taken(self, handle: str) -> None:
        """Hear that the successor has a connection that was handed over."""
        if self.carrier is not None:
            self.carrier.taken(handle)

    # As the new process

    def may_hold(self, count: int | None) -> None:
        """Hear how many descriptors the old process leaves; None once it is gone."""
        # Guards against two processes that together hold more descriptors than one relay may.
        self.admission.lent = max(0, self.admission.limit - count) if count is not None else 0
        if count is None:
            self.inherited.all_left()
            # Guards against a queue that nobody reads, where the old process died before this one served.
            self.alone()

    def inherit(self, told: Standing) -> None:
        """Hear of a connection that stands at the old process."""
        self.inherited.stands(told)

    def inherited_left(self, handle: str) -> None:
        """Hear that it has ended there."""
        self.inherited.left(handle)

    def take(self, told: Handed, descriptors: tuple[int, int]) -> bool:
        """Go on with a connection that stood at the old process."""
        self.inherited.left(told.handle)
        return resume(self.client_context, self.driver, told, descriptors)
