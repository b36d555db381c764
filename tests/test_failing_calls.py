"""System calls that fail as Linux documents: no connection is closed unread, and no traceback is logged."""

from __future__ import annotations

import errno
import json
import logging
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import pytest
from netfakes import OneRelay
from shimmed import ShimmedWorld, shimmed
from test_relay_process import ask
from twisted.internet.protocol import ServerFactory

from scaledeal.lab.soak.shim import Call
from scaledeal.net import config
from scaledeal.net.monotonic_reactor import MonotonicReactor
from scaledeal.net.socket_errors import AcceptErrors, Remedy, is_own_fault

FAILING = 0.4  # share of calls


@pytest.fixture()
def failing(tmp_path: Path) -> Iterator[ShimmedWorld]:
    with shimmed(tmp_path) as world:
        yield world


@pytest.mark.parametrize(
    "call",
    [Call.ACCEPT, Call.RECV, Call.SEND, Call.WAIT, Call.SHORT_RECV, Call.SHORT_SEND, Call.POLL_CHANGE, Call.OPTION],
)
def test_every_request_is_answered_while_a_call_fails(failing: ShimmedWorld, call: Call) -> None:
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


def test_a_start_waits_for_the_sockets_that_it_needs(tmp_path: Path) -> None:
    with shimmed(tmp_path, sockets_fail=0.7) as world:
        assert world.port and world.faults.failed(Call.SOCKET) > 2


def test_a_new_configuration_is_read_again_after_a_shortage(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    one = OneRelay(tmp_path)
    one.path.write_text(json.dumps({**one.written, "discovery": "127.0.0.8:8"}))
    sound, failures = config._read_file, [errno.ENFILE, errno.EIO, errno.ENOMEM]

    def failing_file(environment: Any) -> Any:
        if failures:
            raise config.ShortageError(f"PROXY_CONFIG: {failures.pop()}")
        return sound({"PROXY_CONFIG": str(one.path)})

    monkeypatch.setattr(config, "_read_file", failing_file)
    with caplog.at_level(logging.INFO):
        one.relay.reload()
        one.run(0.3)
    assert not failures and "discovery is now at 127.0.0.8:8" in caplog.text and "not taken" not in caplog.text


def test_a_file_that_can_not_be_read_now_is_told_from_one_that_is_bad(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def read_bytes(path: Path) -> bytes:
        raise OSError(errno.ENFILE, "too many open files in system")

    monkeypatch.setattr(Path, "read_bytes", read_bytes)
    with pytest.raises(config.ShortageError, match="too many"):
        config.read({"PROXY_CONFIG": "c.json"})


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
    from scaledeal.net.client_listener import ClientListener

    reactor: Any = cast(Any, MonotonicReactor)()
    listener: Any = ClientListener(0, ServerFactory(), 5, "127.0.0.1", reactor)
    listener.startListening()
    listener._pause_reading()
    listener.stopReading()
    for _ in range(20):
        reactor.iterate(0.002)
    assert listener not in reactor.getReaders()
    listener.socket.close()
