"""System calls that fail with errors documented for Linux: no connection is closed unread, no traceback is logged."""

from __future__ import annotations

import errno
import json
import logging
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import pytest
from netfakes import OneRelay
from shimmed_relay import ShimmedRelay, shimmed_relay
from test_relay_process import open_line
from twisted.internet.protocol import ServerFactory

from scaledeal.lab.soak.shim import Call
from scaledeal.net import config
from scaledeal.net.monotonic_reactor import MonotonicReactor
from scaledeal.net.socket_errors import AcceptAction, AcceptErrors, is_local_failure

FAILING_SHARE = 0.4  # of the calls


@pytest.fixture()
def failing(tmp_path: Path) -> Iterator[ShimmedRelay]:
    with shimmed_relay(tmp_path) as world:
        yield world


@pytest.mark.parametrize(
    "call",
    [Call.ACCEPT, Call.RECV, Call.SEND, Call.WAIT, Call.SHORT_RECV, Call.SHORT_SEND, Call.POLL_CHANGE, Call.OPTION],
)
def test_every_request_is_answered_while_a_call_fails(failing: ShimmedRelay, call: Call) -> None:
    failing.faults.set_failure_share(call, FAILING_SHARE)
    for number in range(1, 41):
        client = failing.client(open_line(number))
        server, first = failing.next_request()
        assert f"{number:016x}" in first
        server.send("UP 1")
        assert client.read() == "UP 1"
        client.send("M 1")
        assert server.read() == "M 1"
        client.close()
        server.close()
    assert failing.faults.failure_count(call) > 20
    failing.faults.clear_failures()
    failing.process.terminate()
    _, log = failing.process.communicate(timeout=10)
    assert "Traceback" not in log and "Unhandled" not in log and "invariants: none violated" in log, log


def test_a_starting_relay_retries_until_its_sockets_are_open(tmp_path: Path) -> None:
    with shimmed_relay(tmp_path, socket_failure_share=0.7) as world:
        assert world.port and world.faults.failure_count(Call.SOCKET) > 2


def test_a_reload_is_retried_after_a_shortage(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    one = OneRelay(tmp_path)
    one.path.write_text(json.dumps({**one.written, "discovery": "127.0.0.8:8"}))
    read_file, failures = config._read_file, [errno.ENFILE, errno.EIO, errno.ENOMEM]

    def failing_file(environment: Any) -> Any:
        if failures:
            raise config.ShortageError(f"PROXY_CONFIG: {failures.pop()}")
        return read_file({"PROXY_CONFIG": str(one.path)})

    monkeypatch.setattr(config, "_read_file", failing_file)
    with caplog.at_level(logging.INFO):
        one.relay.reload()
        one.run(0.3)
    assert not failures and "discovery is now at 127.0.0.8:8" in caplog.text and "not taken" not in caplog.text


def test_a_file_that_is_unreadable_for_a_shortage_raises_shortage_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def read_bytes(path: Path) -> bytes:
        raise OSError(errno.ENFILE, "too many open files in system")

    monkeypatch.setattr(Path, "read_bytes", read_bytes)
    with pytest.raises(config.ShortageError, match="too many"):
        config.read({"PROXY_CONFIG": "c.json"})


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_after_a_shortage_accept_is_retried_later_and_connect_counts_as_local_failure(number: int) -> None:
    assert AcceptErrors().action(number) is AcceptAction.RETRY_LATER and is_local_failure(number)


@pytest.mark.parametrize("number", [errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.EINTR, errno.ENONET, 9999])
def test_after_an_error_of_one_connection_accept_is_retried_now(number: int, caplog: pytest.LogCaptureFixture) -> None:
    errors = AcceptErrors()
    assert errors.action(number) is errors.action(number) is AcceptAction.RETRY_NOW
    assert ("9999, which is not documented" in caplog.text) == (number == 9999) and not is_local_failure(
        errno.ECONNREFUSED
    )


def test_stop_reading_also_cancels_a_pause() -> None:
    # The end of a pause for lack of descriptors must not make a port read that was told to stop reading.
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
