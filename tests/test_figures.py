"""The figures that operators read."""

import json
import os

from scaledeal.net.figures import Counts, EndCause, Figures
from scaledeal.net.trace import open_trace


def test_every_class_is_told_from_nought_on_in_the_form_of_the_page():
    figures = Figures(("browse", 'od"d\\\n'))
    names = ("fulfilled", "throttled", "faulted", "relayed")
    assert figures.lines({}) == [
        f'relay_{name}_total{{priority="{label}"}} 0' for name in names for label in ("browse", r"od\"d\\\n")
    ] + [f'relay_ended_total{{why="{cause.value}"}} 0' for cause in EndCause]
    figures.counts[0].throttled += 3
    assert figures.counts[1] == Counts()
    told = figures.lines({"open_requests": 14})
    assert 'relay_throttled_total{priority="browse"} 3' in told and told[-1] == "relay_open_requests 14"


def test_a_trace_line_is_whole_though_the_system_takes_less_at_once(tmp_path, monkeypatch):
    write = os.write
    monkeypatch.setattr(os, "write", lambda descriptor, data: write(descriptor, data[:5]))
    trace = open_trace(str(tmp_path / "trace"), "n0", 0)
    trace.request_ended(1_000_000_000, "t1", "c0ffee", "s1", "moved")
    told = json.loads((tmp_path / "trace").read_bytes())
    assert (told["what"], told["id"], told["why"]) == ("over", "c0ffee", "moved")
