"""How long messages take at each application server, told to the decision module as the simulator tells it.

No line of the protocol carries this: it is read off the time between a client's line and the next line back.
The module hears of it at most once a second for each server, while a message takes more than a third of the
shortest aim, and once more when one is back under that.
"""

from __future__ import annotations

from collections.abc import Callable

MS = 1_000_000
PERIOD = 1000 * MS
SHARE = 3  # a third of the shortest aim


class Delays:
    """Decides which measured times are news."""

    def __init__(self, aims: tuple[float, ...], now: Callable[[], int]) -> None:
        self.aims = aims  # ns within which a message is wanted, by class; 0 where none is stated
        self.least = min((aim for aim in aims if aim > 0), default=0.0) / SHARE
        self.now = now
        self.slow: dict[str, int] = {}  # servers last told of as slow, and when
        self.answered: dict[str, int] = {}  # when the latest message that a server has answered was passed on

    def answer(self, server: str, took: int) -> None:
        """Hear that a server has answered a message after so long."""
        self.answered[server] = max(self.answered.get(server, 0), self.now() - took)

    def answers_since(self, server: str, moment: int) -> bool:
        """Tell whether a server has answered a message that was passed on after this moment."""
        return self.answered.get(server, 0) > moment

    def news(self, server: str, took: int) -> bool:
        """Tell whether this time of a message is to be passed on."""
        told = self.slow.get(server)
        if took > self.least > 0:
            # Guards against a note for every message: the module would act on each, not once a second.
            if told is not None and self.now() - told < PERIOD:
                return False
            self.slow[server] = self.now()
            return True
        if told is None:
            return False
        del self.slow[server]
        return True
