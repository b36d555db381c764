"""The fencing protocol in its whole state space, and mutants of it that the checker has to catch."""

from __future__ import annotations

import pytest
from minicheck import check_safety

from scaledeal.lab.fencing import INVARIANTS, LINES, MUTANTS, Rules, protocol, start, steps


def test_the_whole_state_space() -> None:
    """Two servers, crash, delay, loss, repeats and reordering: nothing breaks an invariant."""
    found = check_safety(protocol())
    print(f"{found['reachable_states']} states")
    assert found["exhaustive"] and found["reachable_states"] > 100_000
    assert {name for name, each in found["properties"].items() if each["holds"]} == set(INVARIANTS)


def test_sessions_do_end() -> None:
    """A protocol that refuses everything keeps every invariant: here the answer is reached, by either server."""
    seen, todo, ends = {start()}, [start()], set()
    while todo:
        for label, after in steps(todo.pop(), Rules()):
            if after.byes and label.endswith("answers"):
                ends.add(label)
                assert after.effects == (1,) * LINES
            if after not in seen:
                seen.add(after)
                todo.append(after)
    assert ends == {"server 0 answers", "server 1 answers"}


@pytest.mark.parametrize(
    ("name", "breaks", "steps_to"),
    [
        ("a fence left out", "one owner at an epoch", 2),
        ("an epoch not compared", "no line twice", 9),
        ("an acknowledgement before the write", "no line lost", 3),
        ("an answer that nobody granted", "one final answer", 9),
        ("a commitment that is not renewed", "a resume is honoured once", 3),
    ],
)
def test_mutants_are_caught_with_a_shortest_trace(name: str, breaks: str, steps_to: int) -> None:
    """A checker that stays silent on these proves nothing by staying silent on the sound one."""
    found = check_safety(protocol(MUTANTS[name]), 60_000)["properties"][breaks]
    assert not found["holds"] and len(found["counterexample"]) == steps_to + 1
