"""Starts one real relay: ``python -m scaledeal``."""

from __future__ import annotations

import gc
import logging
import signal
import sys
from collections.abc import Callable

from twisted.python.log import PythonLoggingObserver

from scaledeal.net import config
from scaledeal.net.monotonic_reactor import install
from scaledeal.net.relay import Relay


def main(extend: Callable[[Relay], None] | None = None) -> int:
    """Run until told to stop; ``extend`` gives the relay what the platform's own start has not."""
    reactor = install()
    # Guards against a SIGHUP that ends the program: it waits here until the reactor runs and a relay stands.
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(lambda: relay.reload()))
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        relay = Relay(reactor, config.read())
        if extend is not None:
            extend(relay)
    except config.ConfigError as error:
        return _refused(str(error))
    PythonLoggingObserver("scaledeal.twisted").start()
    logging.getLogger("scaledeal.twisted").setLevel(logging.WARNING)
    relay.start()
    # Twisted takes SIGTERM when it starts to run; from then on it means: move your clients, then go.
    reactor.callWhenRunning(signal.signal, signal.SIGTERM, lambda *_: reactor.callFromThread(relay.drain))
    gc.collect()
    gc.freeze()
    reactor.run()
    return _refused(relay.failure) if relay.failure else 0


def _refused(why: str) -> int:
    print(f"scaledeal: {why}".replace("\n", " "), file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
