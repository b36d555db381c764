"""Starts one real relay: ``python -m scaledeal``."""

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
READ_TRIES = 40  # tries of a configuration that can't be read now
READ_PAUSE = 0.05  # seconds between two of them


def main(extend: Callable[[Relay], None] | None = None) -> int:
    """Run until told to stop; ``extend`` gives the relay what the platform's own start has not."""
    reactor = install()
    # Guards against a signal that ends the program before its relay stands: it waits here until the reactor runs.
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(lambda: relay.reload()))
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(lambda: relay.drain()))
    signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(reactor.stop))
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        relay = Relay(reactor, _configuration())
        if extend is not None:
            extend(relay)
    except config.ConfigError as error:
        return _refused(str(error))
    PythonLoggingObserver("scaledeal.twisted").start()
    logging.getLogger("scaledeal.twisted").setLevel(logging.WARNING)
    relay.start()
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)  # Twisted's own SIGTERM would end the program at once
    # Guards against a signal that comes as Python ends and gives its handlers up: it would kill the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    return _refused(relay.failure) if relay.failure else 0


def _configuration() -> config.Config:
    """Read the configuration; where a moment's shortage keeps it from being read, try again for a while."""
    for _ in range(READ_TRIES):
        try:
            return config.read()
        except config.ShortageError:
            time.sleep(READ_PAUSE)
    return config.read()


def _refused(why: str) -> int:
    print(f"scaledeal: {why}".replace("\n", " "), file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
