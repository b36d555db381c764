"""Ids while two processes of one relay serve: real processes, and clients that send an id that is open elsewhere."""

from __future__ import annotations

import contextlib
import signal
from pathlib import Path

import pytest
from test_relay_process import TIMEOUT_S, World, open_line, world  # noqa: F401  (a fixture)


def take_over(old: World) -> World:
    """Start a new version, and wait until it serves in place of the old one."""
    new = old.start_successor()
    new.answer_watch(9, new.entries(), snapshot=True)
    assert new.port and new.call("PING").startswith("ok")
    old.wait_for_log_line("a new version serves")
    return new


def assert_turned_away(new: World, number: int) -> None:
    copy = new.client(open_line(number))
    assert copy.read() == "ERR" and copy.ended()


def test_an_id_that_is_open_at_either_version_is_turned_away_by_both(world: World) -> None:  # noqa: F811
    # A client that sent an id open at the old process was served by the new one: one id ran at two servers.
    standing, standing_server = world.establish(1)
    waiting = world.client(open_line(2))
    waiting_server, _ = world.servers[0].next_request()
    silent = world.client()  # accepted by the old process, which reads its first line
    world.call("PING")
    new = take_over(world)
    try:
        assert_turned_away(new, 1)
        assert_turned_away(new, 2)
        newer, newer_server = new.establish(3)
        silent.send(open_line(3))
        assert silent.read() == "ERR"
        # The request that waits comes up while the old process ends, and is handed over; its id goes with it.
        world.process.send_signal(signal.SIGTERM)
        waiting_server.send("UP 2")
        assert waiting.read() == "UP 2"
        assert_turned_away(new, 2)
        assert world.process.wait(TIMEOUT_S) == 0
        for number in (1, 2, 3):
            assert_turned_away(new, number)
        newer_server.close()
        assert newer.ended()
        again, again_server = new.establish(3)
        again.send("M 1")
        assert again_server.read() == "M 1"
        standing.send("M 1")
        assert standing_server.read() == "M 1"
    finally:
        new.end()


def test_an_id_is_free_at_the_new_version_once_it_is_over_at_the_old_one(world: World) -> None:  # noqa: F811
    # Ids that the old process held for ever would turn clients away for as long as it stays.
    standing, server = world.establish(1)
    new = take_over(world)
    try:
        assert_turned_away(new, 1)
        server.send("BYE")
        server.close()
        assert standing.read() == "BYE" and standing.ended()
        again, again_server = new.establish(1)
        again.close()
        assert again_server.ended()
        while "0 connections stand" not in new.call("PING"):
            assert new.process.poll() is None
        assert new.establish(1)
    finally:
        new.end()


def test_a_third_version_asks_through_the_second_one(world: World) -> None:  # noqa: F811
    # Each process knows only its neighbours; an id at the first one has to be known to the third one all the same.
    standing = world.establish(1)
    second = take_over(world)
    third = None
    try:
        at_second = second.establish(2)
        third = take_over(second)
        for number in (1, 2):
            assert_turned_away(third, number)
        at_third = third.establish(3)
        assert standing and at_second and at_third
    finally:
        for each in filter(None, (second, third)):
            each.end()


@pytest.mark.parametrize("killed", [False, True])
def test_a_new_version_answers_when_the_old_process_does_not(tmp_path: Path, killed: bool) -> None:
    # A request that waits for the old process must get its answer also when that process is stopped or killed.
    with contextlib.closing(World(tmp_path)) as old:
        standing = old.establish(1)
        with contextlib.closing(take_over(old)) as new:
            if killed:
                old.end()
                assert new.establish(2)
            else:
                old.stop()
                client = new.client(open_line(2, wait=1000))
                assert client.read() == "BUSY" and client.ended()
                old.process.send_signal(signal.SIGCONT)
                assert_turned_away(new, 1)
            assert new.establish(3) and standing
