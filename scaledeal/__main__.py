"""Run one relay: ``python -m scaledeal``."""

from __future__ import annotations

import gc
import logging
import signal
import sys
import time
from collections.abc import Callable

from twisted.python.log import PythonLoggingObserver

from scaledeal.net import config
from scaledeal.net.monotonic_reactor import install
from scaledeal.net.relay import Relay

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
READ_TRIES = 40  # failed reads of the configuration, for a temporary shortage, before the last read
READ_PAUSE_S = 0.05  # pause between two reads


def main(extend: Callable[[Relay], None] | None = None) -> int:
    """Run a relay until it is told to stop, and return the exit code.

    ``extend`` is called with the relay before it starts, to add what the platform's own start does not have; it may
    raise ConfigError.
    """
    reactor = install()
    # The handlers are set before the relay exists, as a signal that comes in between would end the program; such a
    # signal waits until the reactor runs.
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(lambda: relay.reload()))
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(lambda: relay.drain()))
    signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(reactor.stop))
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        relay = Relay(reactor, _read_configuration())
        if extend is not None:
            extend(relay)
    except config.ConfigError as error:
        return _report_failure(str(error))
    PythonLoggingObserver("scaledeal.twisted").start()
    logging.getLogger("scaledeal.twisted").setLevel(logging.WARNING)
    relay.start()
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)  # Twisted's own SIGTERM handler would end the program at once
    # Python restores the default handlers as it exits: a signal that comes then would kill the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    for signal_number in SIGNALS:
        signal.signal(signal_number, signal.SIG_IGN)
    return _report_failure(relay.failure) if relay.failure else 0


def _read_configuration() -> config.Config:
    """Read the configuration, trying again for a while if a temporary shortage prevents it."""
    for _ in range(READ_TRIES):
        try:
            return config.read()
        except config.ShortageError:
            time.sleep(READ_PAUSE_S)
    return config.read()


def _report_failure(reason: str) -> int:
    """Print on one line why the relay could not start, and return the exit code."""
    print(f"scaledeal: {reason}".replace("\n", " "), file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
