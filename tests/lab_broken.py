"""Sources of decision modules with a deliberate fault each, to test that the rule checker detects it."""

HEAD = """
from scaledeal import interface as api
from scaledeal.policy import *
from scaledeal.policy import Balancer as Sound
from scaledeal.ranking import rendezvous
"""

LOST_ANSWER = (
    HEAD
    + """
class Balancer(Sound):
    def _retry(self, flight):
        if flight.attempts[-1].result is api.Result.RESET:
            self._drop(flight)  # the request is forgotten, and its client gets no answer
        else:
            super()._retry(flight)
"""
)

COLD_FORGOTTEN = (
    HEAD
    + """
class Balancer(Sound):
    def _on_membership(self, event):
        super()._on_membership(event)
        if event.kind is api.MembershipKind.FULL:
            for server in self.servers.values():
                server.started = 0  # after a full list, every server counts as warm
"""
)

TWO_AT_ONCE = (
    HEAD
    + """
class Balancer(Sound):
    def _on_timer(self, event):
        super()._on_timer(event)
        for flight in list(self.requests.values()):
            waits = flight.attempts and flight.attempts[-1].result is None and not flight.established
            if waits and self.now - flight.attempts[-1].sent_at > 100_000_000 and len(self.live) > 1:
                self._send(flight, [s for s in self.live.values() if s is not flight.attempts[-1].server][0])
"""
)

TWO_ANSWERS = (
    HEAD
    + """
class Balancer(Sound):
    def _refuse(self, flight, why):
        super()._refuse(flight, why)
        self.actions.append(api.Fail(flight.id, why))
"""
)

DRAINING_USED = (
    HEAD
    + """
class Balancer(Sound):
    def _on_membership(self, event):
        for server in [s for s in self.live.values() if s.state is api.ServerState.DRAINING]:
            self.table._leave(server)
        super()._on_membership(event)
        for server in [s for s in self.servers.values() if s.state is api.ServerState.DRAINING]:
            self.table._join(server)
"""
)

RAISES = (
    HEAD
    + """
class Balancer(Sound):
    def _on_probe_result(self, event):
        raise ZeroDivisionError("on purpose")
"""
)

NEVER_REFUSES = (
    HEAD
    + """
class Balancer(Sound):
    def _refuse(self, flight, why):
        pass
"""
)

SEVENTH_ATTEMPT = (
    HEAD
    + """
class Balancer(Sound):
    def _retry(self, flight):
        if flight.deadline - self.now > 0 and self._candidates(flight):
            self._place(flight)
        else:
            self._give_up(flight, "late")
"""
)

IGNORES_SIBLINGS = (
    HEAD
    + """
from dataclasses import replace

class Balancer(Sound):
    def __init__(self, settings, seed):
        super().__init__(replace(settings, siblings=1), seed)  # uses the whole arrival budget of a cold server
"""
)
