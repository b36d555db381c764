"""Exhaustive check of the session fencing protocol, and of mutants in which the checker must find a violation."""

from __future__ import annotations

import pytest
from minicheck import check_safety

from scaledeal.lab.fencing import CLIENT_LINES, INVARIANTS, MUTANTS, Rules, protocol, start, steps


def test_no_invariant_is_violated_in_the_whole_state_space() -> None:
    """Two servers with crashes; delay, loss, duplication and reordering of messages violate no invariant."""
    result = check_safety(protocol())
    print(f"{result['reachable_states']} states")
    assert result["exhaustive"] and result["reachable_states"] > 100_000
    assert {name for name, each in result["properties"].items() if each["holds"]} == set(INVARIANTS)


def test_a_final_answer_is_reachable_at_either_server() -> None:
    """A protocol that refuses everything violates no invariant, so invariants alone do not show that sessions end."""
    seen, pending, endings = {start()}, [start()], set()
    while pending:
        for label, after in steps(pending.pop(), Rules()):
            if after.final_answers and label.endswith("answers"):
                endings.add(label)
                assert after.applications == (1,) * CLIENT_LINES
            if after not in seen:
                seen.add(after)
                pending.append(after)
    assert endings == {"server 0 answers", "server 1 answers"}


@pytest.mark.parametrize(
    ("mutant", "violated", "trace_steps"),
    [
        ("epoch not advanced", "one owner per epoch", 2),
        ("epoch not compared", "no line is applied twice", 9),
        ("acknowledged before recorded", "no line is lost", 3),
        ("answered without a grant", "one final answer", 9),
        ("commitment not renewed", "no resume is granted twice", 3),
    ],
)
def test_each_mutant_violates_its_invariant_by_a_shortest_trace(mutant: str, violated: str, trace_steps: int) -> None:
    """If the checker found nothing in these mutants, finding nothing in the complete protocol would prove nothing."""
    result = check_safety(protocol(MUTANTS[mutant]), 60_000)["properties"][violated]
    assert not result["holds"] and len(result["counterexample"]) == trace_steps + 1
