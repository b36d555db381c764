"""The adapter to the simulator's protocol: translation, malformed input, faults and restarts of an instance."""

import subprocess
import sys
from io import StringIO
from pathlib import Path

import pytest

from scaledeal import interface as api
from scaledeal.policy import Balancer
from scaledeal.wirehost import Host, WireError, read_settings

HELLO = (
    "HELLO 7 Classes.count=1 Classes.0.Aim=300000000 Classes.0.Deadline=2000000000 Classes.0.Worth=2.0 "
    "Classes.0.Semantics=by_key Classes.0.KeyScope=zone Classes.0.Window=5000000000 Caps.MaxAttempts=3 "
    "Caps.Cancelling=true Siblings=2 Discovery=on_request Some.New.Key=1 Specifics.MessageAim=50000000 "
    "Specifics.TenantQuotaConnections=null,12.5 Accounts.count=2 Rules.ColdFrom=0.2"
)
SERVER_LIST = "MEMBERS warm_copy 3 2\nROW 10.0.0.1:80 - 0 1 1 live 0\nROW 10.0.0.2:80 6100 0 0 1.5 quiescing 1"
START_BATCH = f"FRAME 1000\nTO 4\n{HELLO}\n{SERVER_LIST}\nEOF_BATCH\n"


def serve(text: str) -> list[str]:
    sink = StringIO()
    Host(StringIO(text), sink).serve()
    return sink.getvalue().split("\n")


def test_an_empty_batch_gets_an_empty_reply():
    assert serve("FRAME 5\nEOF_BATCH\n") == ["END", ""]


def test_a_request_is_sent_established_and_finished():
    lines = serve(
        START_BATCH + "FRAME 2000\nTO 4\nARRIVAL r-1 k:a 2000002000 - 0 0 - 0\nEOF_BATCH\n"
        "FRAME 3000\nTO 4\nHEADERS r-1 10.0.0.1:80 1000 0\nEOF_BATCH\n"
        "FRAME 4000\nTO 4\nINTERIM r-1 0 10.0.0.1:80 1 812.5\nINTERIM r-1 0 10.0.0.1:80 9 1\n"
        "COMPLETED r-1 0 10.0.0.1:80 done 2000 1 -\nEOF_BATCH\n"
    )
    assert lines[:3] == ["ON_BEHALF 4", "TRACK 1", "SCHEDULE 250000000 0"]
    assert lines[4:6] == ["ON_BEHALF 4", "TRANSMIT r-1 10.0.0.1:80 300000000"]
    assert lines[6:] == ["END", "END", "END", ""]


def test_a_restarted_instance_keeps_no_state():
    lines = serve(
        START_BATCH + "FRAME 2000\nTO 4\nARRIVAL r-1 k:a 2000002000 - 0 0 - 0\nHALT\n"
        f"{HELLO}\nMEMBERS warm_copy 0 0\nCOMPLETED r-1 0 10.0.0.1:80 etimedout 1 0 -\nEOF_BATCH\n"
    )
    assert "REJECT r-1 0" not in lines and "ERROR r-1" not in lines


def test_settings_are_read_and_unknown_or_absent_keys_are_ignored():
    settings = read_settings(HELLO.split(" ")[2:])
    assert settings.classes[0].semantics is api.Semantics.KEYED
    assert settings.classes[0].scope is api.Scope.ZONE
    assert settings.classes[0].message_aim == 50_000_000
    assert (settings.siblings, settings.max_attempts, settings.cold_share) == (2, 3, 0.2)
    assert [t.open_connections for t in settings.tenants] == [0.0, 12.5]
    assert settings.ask_discovery and settings.may_cancel and not settings.may_probe
    assert settings.report_source is api.Source.NONE


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("FRAME x\nEOF_BATCH\n", "clock"),
        ("HELLO 1\n", "FRAME line was expected"),
        ("FRAME 1\nTO 1\n", "ends inside a batch"),
        ("FRAME 1\nFIRED 0\nEOF_BATCH\n", "no TO line"),
        ("FRAME 1\nTO 1\nFIRED 0\nEOF_BATCH\n", "no HELLO"),
        (START_BATCH + "FRAME 2\nTO 4\nNONSENSE 1\nEOF_BATCH\n", "unknown message"),
        (START_BATCH + "FRAME 2\nTO 4\nARRIVAL r-1 k:a\nEOF_BATCH\n", "Options is missing"),
        (START_BATCH + "FRAME 2\nTO 4\nARRIVAL r-1 k:a soon - 0 0 - 0\nEOF_BATCH\n", "GiveUpAt"),
        (START_BATCH + "FRAME 2\nTO 4\nCOMPLETED r-1 0 s odd 1 1 -\nEOF_BATCH\n", "Verdict"),
        (START_BATCH + "FRAME 2\nTO 4\nPROBE_DONE s done 1 1,x\nEOF_BATCH\n", "Metrics"),
        (START_BATCH + "FRAME 2\nTO 4\nMEMBERS incr 1 1\nEOF_BATCH\n", "ROW"),
        ("FRAME 1\nTO 1\nHELLO 1 Siblings=many\nEOF_BATCH\n", "Siblings"),
        ("FRAME 1\nTO 1\nHELLO 1 Siblings\nEOF_BATCH\n", "without a value"),
    ],
)
def test_malformed_input_raises_an_error_that_names_it(text, message):
    with pytest.raises(WireError, match=message):
        serve(text)


def test_malformed_input_ends_the_process_with_one_line_on_stderr():
    command = [sys.executable, "-m", "scaledeal.wirehost"]
    run = subprocess.run(
        command,
        input="FRAME 1\nTO 1\nODD\nEOF_BATCH\n",
        capture_output=True,
        text=True,
        cwd=Path(__file__).parent.parent,
    )
    assert run.returncode != 0
    assert run.stderr.count("\n") == 1 and "line 3" in run.stderr and "ODD" in run.stderr


def test_an_exception_in_the_balancer_becomes_a_fault_line(monkeypatch):
    def failing_handle(self: Balancer, now: int, event: api.Event) -> list[api.Action]:
        raise RuntimeError("index out\nof range")

    monkeypatch.setattr(Balancer, "handle", failing_handle)
    assert "FAULT RuntimeError: index out of range" in serve(START_BATCH)
