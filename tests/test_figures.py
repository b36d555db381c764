"""The metrics that operators read, and the trace."""

import json
import os

from scaledeal.net.figures import Counts, EndCause, Figures
from scaledeal.net.trace import open_trace


def test_metrics_list_every_class_from_zero_with_escaped_labels():
    figures = Figures(("browse", 'od"d\\\n'))
    names = ("fulfilled", "throttled", "faulted", "relayed")
    assert figures.lines({}) == [
        f'relay_{name}_total{{priority="{label}"}} 0' for name in names for label in ("browse", r"od\"d\\\n")
    ] + [f'relay_ended_total{{why="{cause.value}"}} 0' for cause in EndCause]
    figures.counts[0].throttled += 3
    assert figures.counts[1] == Counts()
    lines = figures.lines({"open_requests": 14})
    assert 'relay_throttled_total{priority="browse"} 3' in lines and lines[-1] == "relay_open_requests 14"


def test_a_trace_line_is_complete_after_partial_writes(tmp_path, monkeypatch):
    write = os.write
    monkeypatch.setattr(os, "write", lambda descriptor, data: write(descriptor, data[:5]))
    trace = open_trace(str(tmp_path / "trace"), "n0", 0)
    trace.request_ended(1_000_000_000, "t1", "c0ffee", "s1", "moved")
    line = json.loads((tmp_path / "trace").read_bytes())
    assert (line["what"], line["id"], line["why"]) == ("over", "c0ffee", "moved")
