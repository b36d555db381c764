"""scaledeal: a balancer for long-lived connections. This package exports its decision module, which does no I/O."""

from scaledeal.policy import Balancer

__all__ = ["Balancer"]
