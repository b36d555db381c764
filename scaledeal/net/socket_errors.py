"""What the documented errors of socket calls mean here: the one table of them (accept(2), socket(2), connect(2)).

``docs/architecture.md`` tells what each does to a request. An error that is not in the table is the connection's.
"""

from __future__ import annotations

import errno
import logging
from enum import Enum

log = logging.getLogger("scaledeal.sockets")


class Remedy(Enum):
    """What is done about a call that failed."""

    NOTHING_THERE = "nothing there"  # no connection waits
    AT_ONCE = "again at once"  # the error is that of one connection that is gone, or of a signal
    SOON = "again soon"  # the process or the machine is short of something: what waits, waits in the queue


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
OWN_CONNECT_ERRORS = SHORTAGES | {errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EAGAIN, errno.EACCES, errno.EPERM}

_ACCEPT = {
    errno.EAGAIN: Remedy.NOTHING_THERE,
    errno.EWOULDBLOCK: Remedy.NOTHING_THERE,
    errno.EINTR: Remedy.AT_ONCE,
    errno.ECONNABORTED: Remedy.AT_ONCE,
    errno.EPERM: Remedy.AT_ONCE,
    **dict.fromkeys(NETWORK_ERRORS, Remedy.AT_ONCE),
    **dict.fromkeys(SHORTAGES, Remedy.SOON),
}


class AcceptErrors:
    """Says what to do about an error of ``accept``, and logs the first of each row."""

    def __init__(self) -> None:
        self.last = 0  # the errno of the row that runs, 0 after a call that succeeded

    def succeeded(self) -> None:
        """Hear that a call succeeded."""
        self.last = 0

    def remedy(self, number: int) -> Remedy:
        """Return what to do about this errno."""
        known = _ACCEPT.get(number)
        if known is not Remedy.NOTHING_THERE and number != self.last:
            self.last = number
            name = errno.errorcode.get(number, str(number))
            if known is None:
                log.warning("accept failed with %s, which is not documented: taken for the connection's", name)
            elif known is Remedy.SOON:
                log.warning("accept failed with %s: new connections wait in the queue", name)
            else:
                log.debug("accept failed with %s: tried again", name)
        return known or Remedy.AT_ONCE


def may_be_tried_again(number: int | None) -> bool:
    """Tell whether a read or write that failed with this errno leaves the connection as it was."""
    return number in SHORTAGES or number in (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)


def is_own_fault(number: int | None) -> bool:
    """Tell whether a connect failed with this errno for want of something here, which says nothing of the server."""
    return number in OWN_CONNECT_ERRORS
