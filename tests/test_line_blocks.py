"""Many short lines at once: they cost by their bytes, and mean the same as one by one."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from netfakes import Bench
from test_large_fleet import steps
from test_net_parts import OPEN, establish
from test_relay_process import World, open_line, world  # noqa: F401  (a fixture)

from scaledeal import interface as api
from scaledeal.net.buffers import MAX_LINE_BYTES
from scaledeal.net.lines import READ_BYTES


# Guards against work and memory for each line of a client that sends very short ones: others waited for seconds.
@pytest.mark.parametrize("direction", ["to the server", "to the client"])
def test_the_work_and_memory_of_lines_grow_with_their_bytes_and_not_with_their_number(direction: str) -> None:
    bench = Bench()
    client, server, _ = establish(bench)
    sender, receiver = (client, server) if direction == "to the server" else (server, client)
    receiver.flush()
    received = len(receiver.sent)
    work = []
    for line in (b"x" * 1022 + b"\r\n", b"x\r\n", b"\r\n"):
        block = line * (READ_BYTES // len(line))
        work.append(steps(lambda block=block: sender.receive(block)))
        receiver.flush()
        assert receiver.sent[received:] == block, "the lines pass unchanged"
        received = len(receiver.sent)
    assert max(work) < 1000 + 2 * work[0], f"bytecodes for 8, 2,730 and 4,096 lines of as many bytes: {work}"


class EachLine:
    """What one side gets if lines pass one by one: the reference for blocks."""

    def __init__(self, sent: bytes) -> None:
        lines = sent.split(b"\r\n")[:-1]
        self.passed: list[bytes] = []
        self.loads: list[bytes] = []
        self.closes = False
        for line in lines:
            self.passed.append(line)
            word = line.split(b" ", 1)[0]
            if word == b"LOAD":
                self.loads.append(line)
            if word in (b"BYE", b"MOVE"):
                self.closes = True
                return


WORDS = st.sampled_from([b"", b"x", b"M 1", b"LOAD 900", b"LOADS", b"ERR", b"BYEBYE", b"\n", b"\r", b"a LOAD 1"])
ENDS = st.sampled_from([b"", b"BYE", b"BYE eps=0", b"MOVE", b"MOVE on"])


# Guards against a block of lines that is read otherwise than its lines one by one.
@settings(max_examples=300)
@given(lines=st.lists(WORDS, min_size=9, max_size=40), end=ENDS, place=st.integers(0, 40), cut=st.integers(0, 200))
def test_many_lines_at_once_mean_the_same_as_one_by_one(lines: list[bytes], end: bytes, place: int, cut: int) -> None:
    bench = Bench()
    client, server, _ = establish(bench)
    client.flush()
    lines = [*lines[:place], *([end] if end else []), *lines[place:]]
    sent = b"".join(line + b"\r\n" for line in lines)
    reference = EachLine(sent)
    server.receive(sent[:cut])
    if not server.closing:
        server.receive(sent[cut:])
    assert client.lines()[1:] == reference.passed
    assert server.closing is reference.closes
    notes = bench.module.events_of(api.Note)
    assert bool(notes) == bool(reference.loads)


def test_a_line_that_is_too_long_among_many_ends_the_connection_after_those_before_it() -> None:
    bench = Bench()
    client, server, _ = establish(bench)
    client.receive(b"x\r\n" * 20 + b"y" * MAX_LINE_BYTES + b"\r\n" + b"z\r\n")
    assert server.lines()[1:] == [b"x"] * 20 and client.aborted


# Guards against hundreds of clients that send at full speed, each of which was read in every round before anybody else.
def test_connections_that_send_much_are_read_on_in_turns_and_others_at_once() -> None:
    bench = Bench(descriptors=1024)
    clients = [establish(bench, OPEN.replace(b"9b1f", b"%d" % number))[0] for number in range(100)]
    sound = establish(bench)[0]
    for client in clients:
        client.receive((b"x" * 1022 + b"\r\n") * 8)
    sound.receive(b"M 1\r\n")
    assert all(client.paused for client in clients) and not sound.paused
    for rest in (68, 36, 4, 0):
        due = bench.reactor.calls.pop(0)  # one round: ``advance`` would run all that are due now
        due.func(*due.args)
        assert sum(client.paused for client in clients) == rest


@pytest.mark.parametrize("ends", ["stays slow", "reads again", "hand-over", "closing"])
def test_a_turn_does_not_resume_a_connection_that_is_paused_or_closing_otherwise(ends: str) -> None:
    bench = Bench()
    client, _, _ = establish(bench)
    client.receive(b"x\r\n" * 2000)
    assert client.paused
    link = client.link
    if ends == "hand-over":
        link.pause_for_handover()
    elif ends == "closing":
        link.close()
    else:
        link.pauseProducing()
        if ends == "reads again":
            link.resumeProducing()
            assert client.paused, "it is not its turn yet"
    bench.reactor.advance(0)
    assert client.paused == (ends != "reads again")
    if ends == "stays slow":
        link.resumeProducing()
        assert not client.paused
    elif ends == "hand-over":
        link.resume_after_handover()
        assert not client.paused
