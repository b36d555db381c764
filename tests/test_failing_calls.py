"""System calls that fail as Linux documents: no connection is closed unread, and no traceback is logged."""

from __future__ import annotations

import errno
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import pytest
from test_relay_process import World, ask
from twisted.internet.protocol import ServerFactory

from scaledeal.lab.soak.shim import Call, FaultControl, ShimUnavailableError, build
from scaledeal.net.monotonic_reactor import MonotonicReactor
from scaledeal.net.socket_errors import AcceptErrors, Remedy, is_own_fault

FAILING = 0.4  # share of calls


class FailingWorld(World):
    """A relay under the fault shim."""

    def __init__(self, folder: Path) -> None:
        self.faults = FaultControl(build(folder), folder / "faults", seed=7)
        super().__init__(folder)

    def run(self) -> None:
        self.env |= self.faults.environment()
        super().run()


@pytest.fixture()
def failing(tmp_path: Path) -> Iterator[FailingWorld]:
    try:
        world = FailingWorld(tmp_path)
    except ShimUnavailableError as error:
        pytest.skip(str(error))
    yield world
    world.end()


@pytest.mark.parametrize("call", [Call.ACCEPT, Call.RECV, Call.SEND, Call.WAIT, Call.SHORT_RECV, Call.SHORT_SEND])
def test_every_request_is_answered_while_a_call_fails(failing: FailingWorld, call: Call) -> None:
    failing.faults.fail(call, FAILING)
    for number in range(1, 41):
        client = failing.client(ask(number))
        server, first = failing.asked()
        assert f"{number:016x}" in first
        server.send("UP 1")
        assert client.read() == "UP 1"
        client.send("M 1")
        assert server.read() == "M 1"
        client.close()
        server.close()
    assert failing.faults.failed(call) > 20
    failing.faults.sound()
    failing.process.terminate()
    _, log = failing.process.communicate(timeout=10)
    assert "Traceback" not in log and "Unhandled" not in log and "invariants: none violated" in log, log


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_a_shortage_leaves_connections_in_the_queue(number: int) -> None:
    assert AcceptErrors().remedy(number) is Remedy.SOON and is_own_fault(number)


@pytest.mark.parametrize("number", [errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.EINTR, errno.ENONET, 9999])
def test_an_error_of_one_connection_is_no_reason_to_wait(number: int, caplog: pytest.LogCaptureFixture) -> None:
    errors = AcceptErrors()
    assert errors.remedy(number) is errors.remedy(number) is Remedy.AT_ONCE
    assert ("9999, which is not documented" in caplog.text) == (number == 9999) and not is_own_fault(errno.ECONNREFUSED)


def test_a_pause_ends_with_the_listening() -> None:
    # Guards against a port that reads on after it was told to read no more, as a pause for want of descriptors ends.
    from scaledeal.net.gate import Gate
    reactor: Any = cast(Any, MonotonicReactor)()
    gate: Any = Gate(0, ServerFactory(), 5, "127.0.0.1", reactor)
    gate.startListening()
    gate._pause_reading()
    gate.stopReading()
    for _ in range(20):
        reactor.iterate(0.002)
    assert gate not in reactor.getReaders()
    gate.socket.close()
