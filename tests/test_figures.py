"""The figures that operators read."""

from scaledeal.net.figures import Counts, EndCause, Figures


def test_every_class_is_told_from_nought_on_in_the_form_of_the_page():
    figures = Figures(("browse", 'od"d\\\n'))
    names = ("fulfilled", "throttled", "faulted", "relayed")
    assert figures.lines({}) == [f'relay_{name}_total{{priority="{label}"}} 0'
                                 for name in names for label in ("browse", r"od\"d\\\n")] + [
        f'relay_ended_total{{why="{cause.value}"}} 0' for cause in EndCause]
    figures.counts[0].throttled += 3
    assert figures.counts[1] == Counts()
    told = figures.lines({"open_requests": 14})
    assert 'relay_throttled_total{priority="browse"} 3' in told and told[-1] == "relay_open_requests 14"
