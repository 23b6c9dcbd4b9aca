"""A report about a learner expires unless it is repeated, and a newer report replaces an older one."""

from __future__ import annotations

from hollowusher.coordination.placement.learner_reports import (
    REPORT_VALIDITY_S,
    LearnerReport,
    LearnerReports,
)

REPORT = LearnerReport(partition=3, epoch=7, store_id="s1/d")


def test_a_report_is_valid_until_it_expires() -> None:
    reports = LearnerReports()
    reports.record_ready(REPORT, 1.0)
    reports.record_lost(LearnerReport(4, 1, "s2/d"), 2.0)
    reports.remove_expired(1.0 + REPORT_VALIDITY_S)
    assert list(reports.ready) == [REPORT]
    reports.remove_expired(1.1 + REPORT_VALIDITY_S)
    assert list(reports.ready) == []
    assert list(reports.lost) == [LearnerReport(4, 1, "s2/d")]


def test_a_repeated_report_is_valid_longer() -> None:
    reports = LearnerReports()
    reports.record_ready(REPORT, 1.0)
    reports.record_ready(REPORT, 2.0)
    reports.remove_expired(2.0 + REPORT_VALIDITY_S)
    assert list(reports.ready) == [REPORT]


def test_the_newest_report_about_a_learner_counts() -> None:
    reports = LearnerReports()
    reports.record_ready(REPORT, 1.0)
    reports.record_lost(REPORT, 1.1)
    assert (list(reports.ready), list(reports.lost)) == ([], [REPORT])
    reports.record_ready(REPORT, 1.2)
    assert (list(reports.ready), list(reports.lost)) == ([REPORT], [])
    reports.clear()
    assert (list(reports.ready), list(reports.lost)) == ([], [])
