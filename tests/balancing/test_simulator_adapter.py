"""Line protocol of the simulator adapter: parsing, replies and the handling of invalid input."""

from __future__ import annotations

import io
import subprocess
import sys
from pathlib import Path

import pytest

from hollowusher.balancing import Discovery, Effect, Group, Via
from hollowusher.balancing.simulator_adapter import Host, WireError, read_settings

ROOT = Path(__file__).parent.parent.parent
OPTIONS = (
    "az=a caps.cancel=true caps.max_attempts=3 caps.probes=true caps.second_copies=true fleet_size=2 "
    "me=0 discovery=push grades.count=2 grades.0.name=quick grades.0.effect=retryable "
    "grades.0.goal_time_ns=100000000 grades.0.deadline_ns=5000000000 grades.0.value=2.0 "
    "grades.1.name=once grades.1.effect=dedup grades.1.key_scope=cell "
    "grades.1.memory_span_ns=7000000000 grades.1.goal_time_ns=200000000 "
    "grades.1.deadline_ns=5000000000 family_info.class_stretch=2.0,1.5 family_info.class_priority=0,1 "
    "family_info.class_kind=-1,gen-b family_info.report_x0=free_slots family_info.tells_start=true "
    "granularity_ns=5000000 kinds=gen-a,gen-b report.names=mean_ms,x0 report.via=inline zones=a,b "
    "something.new=7 customers="
)
BEGIN = (
    "FRAME 1000000000\nFOR node-0\n"
    f"BEGIN 42 {OPTIONS}\n"
    "MEMBERSHIP C 1 2\nROW 11 a gen-a 0 Ready 1 -\nROW 12 b gen-b 1 Ready 1 0\nOVER_TO_YOU\n"
)


def exchange(text: str) -> tuple[int, list[str]]:
    """Run the adapter on an input and return its exit code and reply lines."""
    sink = io.StringIO()
    code = Host(io.StringIO(text), sink).run()
    return code, sink.getvalue().splitlines()


def test_settings_are_read_and_unknown_keys_skipped() -> None:
    settings, meanings = read_settings("BEGIN", OPTIONS.split(" "))
    quick, once = settings.classes
    assert (quick.effect, quick.stretch, quick.worth, quick.kind) == (Effect.SAFE, 2.0, 2.0, "")
    assert (once.effect, once.group, once.window_ns) == (Effect.KEYED, Group.CELL, 7_000_000_000)
    assert (once.priority, once.kind, once.stretch) == (1, "gen-b", 1.5)
    assert (settings.balancers, settings.zone, settings.tick_ns) == (2, "a", 5_000_000)
    assert (settings.discovery, settings.readings) == (Discovery.PUSH, Via.ANSWERS)
    assert meanings["x0"] == "free_slots"
    assert settings.limits.cancel and not settings.limits.retry_after


def test_request_is_forwarded_and_closed_by_its_answer() -> None:
    text = BEGIN + (
        "FRAME 1005000000\nFOR node-0\nINBOUND 00000000000000aa quick - - 5000000000 - 1 - 0\nOVER_TO_YOU\n"
        "FRAME 1065000000\nFOR node-0\nWAKEUP 0\nOVER_TO_YOU\n"
    )
    code, lines = exchange(text)
    assert code == 0
    forwards = [line.split() for line in lines if line.startswith("FORWARD")]
    assert len(forwards) == 1
    assert forwards[0][1] == "00000000000000aa" and forwards[0][2] in ("11", "12")
    answer = (
        f"FRAME 1200000000\nFOR node-0\nINTERIM 00000000000000aa {forwards[0][2]} 1 - 0\n"
        f"DONE 00000000000000aa 0 {forwards[0][2]} ok 100000000 1 - mean_ms:14.5,x0:3\nOVER_TO_YOU\n"
    )
    code, lines = exchange(text + answer)
    assert code == 0
    assert not [line for line in lines if line.startswith(("DECLINE", "END_FAILED"))]


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert exchange("FRAME 5\nOVER_TO_YOU\n") == (0, ["YIELD"])


def test_destroyed_instance_sends_no_more_replies() -> None:
    code, lines = exchange(BEGIN + "FRAME 2000000000\nFOR node-0\nDESTROY\nOVER_TO_YOU\n")
    assert code == 0
    assert lines[-1] == "YIELD" and lines[-2] == "YIELD"


@pytest.mark.parametrize(
    ("line", "message", "field"),
    [
        ("INBOUND 00aa quick - - soon - 1 - 0", "INBOUND", "grace_ns"),
        ("INBOUND 00aa other - - 5 - 1 - 0", "INBOUND", "kind"),
        ("DONE 00aa 0 11 perhaps 5 1 - -", "DONE", "status"),
        ("DONE 00aa 0 11 ok 5 1 - x0:lots", "DONE", "feedback"),
        ("MEMBERSHIP Z 1 0", "MEMBERSHIP", "mode"),
        ("MEMBERSHIP F 1 1\nROW 11 a k 0 Asleep 1 -", "ROW", "stage_state"),
        ("MEMBERSHIP F 1 2\nROW 11 a k 0 Ready 1 -", "MEMBERSHIP", "elements"),
        ("WAKEUP -1", "WAKEUP", "ctx"),
        ("HELLO", "HELLO", "message"),
        ("BEGIN x grades.count=0", "BEGIN", "entropy"),
        ("BEGIN 1 grades.count=0", "BEGIN", "options (classes"),
        ("BEGIN 1 nonsense", "BEGIN", "options (nonsense)"),
        ("BEGIN 1 fleet_size=some", "BEGIN", "options.fleet_size"),
    ],
)
def test_invalid_line_ends_process_and_names_line_message_and_field(
    line: str, message: str, field: str, capsys: pytest.CaptureFixture[str]
) -> None:
    code, _ = exchange(f"{BEGIN}FRAME 1005000000\nFOR node-0\n{line}\nOVER_TO_YOU\n")
    errors = capsys.readouterr().err.splitlines()
    assert code == 2
    assert len(errors) == 1
    number = BEGIN.count("\n") + 3 + line.count("\n") + (field == "elements")
    assert errors[0].startswith(f"line {number}: message {message}, field {field}")


def test_missing_instance_and_truncated_batch_are_invalid() -> None:
    assert exchange("FRAME 5\nWAKEUP 0\nOVER_TO_YOU\n")[0] == 2
    assert exchange("FRAME 5\nFOR node-1\nWAKEUP 0\nOVER_TO_YOU\n")[0] == 2
    assert exchange("FRAME 5\n")[0] == 2
    assert exchange("OVER_TO_YOU\n")[0] == 2
    with pytest.raises(WireError):
        read_settings("BEGIN", ["grades.count=1", "grades.0.effect=often"])


def test_balancer_exception_is_reported_as_reply(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def broken(*_: object) -> None:
        raise IndexError("index out\nof range")

    monkeypatch.setattr("hollowusher.balancing.balancer.Balancer.step", broken)
    code, lines = exchange(BEGIN)
    assert code == 0
    assert lines == ["CONTEXT node-0", "GIVE_IN IndexError: index out of range", "YIELD"]
    assert "Traceback" in capsys.readouterr().err


def test_process_ends_with_its_input() -> None:
    command = [sys.executable, "-m", "hollowusher.balancing.simulator_adapter"]
    done = subprocess.run(command, input=BEGIN, capture_output=True, text=True, cwd=ROOT, check=True)
    assert done.stdout.splitlines()[-1] == "YIELD"
    assert done.stderr == ""
