"""A suspicion report applies to one incarnation of a member and expires unless the monitor repeats it."""

from __future__ import annotations

from hollowusher.coordination.membership.suspicion_table import SUSPICION_VALIDITY_S, SuspicionTable
from hollowusher.protocol.membership import MemberSuspected


def test_reports_of_different_monitors_expire_separately() -> None:
    table = SuspicionTable()
    table.record(MemberSuspected("s", 1, "e0"), 0.0)
    table.record(MemberSuspected("s", 1, "e1"), 1.0)
    assert table.reporters("s", SUSPICION_VALIDITY_S) == {"e0", "e1"}
    assert table.reporters("s", SUSPICION_VALIDITY_S + 0.1) == {"e1"}
    table.remove_expired(SUSPICION_VALIDITY_S + 0.1)
    assert list(table.suspects()) == ["s"]
    table.remove_expired(1.1 + SUSPICION_VALIDITY_S)
    assert list(table.suspects()) == []
    assert table.incarnation("s") is None


def test_a_suspicion_is_as_old_as_its_first_report_while_monitors_repeat_it() -> None:
    table = SuspicionTable()
    for now in (0.0, 1.0, 2.0):
        table.record(MemberSuspected("s", 1, "e0"), now)
    assert table.is_suspected_for("s", 2.0, 2.0)
    # All earlier reports have expired.
    table.record(MemberSuspected("s", 1, "e0"), 2.1 + SUSPICION_VALIDITY_S)
    assert not table.is_suspected_for("s", 0.1, 2.1 + SUSPICION_VALIDITY_S)


def test_a_report_about_another_incarnation_starts_a_new_record() -> None:
    table = SuspicionTable()
    table.record(MemberSuspected("s", 1, "e0"), 0.0)
    table.record(MemberSuspected("s", 2, "e1"), 1.0)
    assert table.incarnation("s") == 2
    assert table.reporters("s", 1.0) == {"e1"}
    assert not table.is_suspected_for("s", 1.0, 1.0)


def test_removed_members_are_no_longer_suspected() -> None:
    table = SuspicionTable()
    table.record(MemberSuspected("s", 1, "e0"), 0.0)
    table.record(MemberSuspected("t", 1, "e0"), 0.0)
    table.remove("s")
    assert table.reporters("s", 0.0) == set()
    table.clear()
    assert table.reporters("t", 0.0) == set()
