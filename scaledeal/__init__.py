"""scaledeal: the decisions of a balancer for long-lived connections, without any I/O."""

from scaledeal.policy import Balancer

__all__ = ["Balancer"]
