"""What the documented errors of socket calls mean for a relay, in one table (accept(2), socket(2), connect(2)).

``docs/architecture.md`` says what each error does to a request. An accept error that is not in the table is attributed
to the one connection that was being accepted.
"""

from __future__ import annotations

import errno
import logging
from enum import Enum

log = logging.getLogger("scaledeal.sockets")


class AcceptAction(Enum):
    """What to do after a call of ``accept`` that failed."""

    NO_CONNECTION = "no connection"  # no connection waits in the queue
    RETRY_NOW = "retry now"  # one connection is gone, or a signal interrupted the call
    RETRY_LATER = "retry later"  # the process or the machine lacks a resource; connections wait in the queue


NETWORK_ERRORS = frozenset(
    (
        errno.ENETDOWN,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.ECONNRESET,
    )
)
SHORTAGES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
LOCAL_CONNECT_ERRORS = SHORTAGES | {errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EAGAIN, errno.EACCES, errno.EPERM}

_ACCEPT_ACTIONS = {
    errno.EAGAIN: AcceptAction.NO_CONNECTION,
    errno.EWOULDBLOCK: AcceptAction.NO_CONNECTION,
    errno.EINTR: AcceptAction.RETRY_NOW,
    errno.ECONNABORTED: AcceptAction.RETRY_NOW,
    errno.EPERM: AcceptAction.RETRY_NOW,
    **dict.fromkeys(NETWORK_ERRORS, AcceptAction.RETRY_NOW),
    **dict.fromkeys(SHORTAGES, AcceptAction.RETRY_LATER),
}


class AcceptErrors:
    """Chooses the action for an error of ``accept``, and logs the first error of each series of equal ones."""

    def __init__(self) -> None:
        self.last_errno = 0  # of the current series; 0 after a successful call

    def succeeded(self) -> None:
        """Record a successful call, which ends a series of errors."""
        self.last_errno = 0

    def action(self, number: int) -> AcceptAction:
        """Return what to do about the errno ``number``."""
        known = _ACCEPT_ACTIONS.get(number)
        if known is not AcceptAction.NO_CONNECTION and number != self.last_errno:
            self.last_errno = number
            name = errno.errorcode.get(number, str(number))
            if known is None:
                log.warning("accept failed with %s, which is not documented; attributed to one connection", name)
            elif known is AcceptAction.RETRY_LATER:
                log.warning("accept failed with %s; new connections wait in the queue", name)
            else:
                log.debug("accept failed with %s; retrying", name)
        return known or AcceptAction.RETRY_NOW


def is_transient(number: int | None) -> bool:
    """Return whether a read or write that failed with this errno leaves the connection intact."""
    return number in SHORTAGES or number in (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)


def is_local_failure(number: int | None) -> bool:
    """Return whether a connect with this errno failed for local reasons, which say nothing about the server."""
    return number in LOCAL_CONNECT_ERRORS
