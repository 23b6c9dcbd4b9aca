"""Tests of the worker list reconciler: empty lists, and lists that change between two pages."""

from __future__ import annotations

from hollowusher.coordination.controller.worker_list_reconciler import WorkerListReconciler
from tests.support.worker_list_pages import names, worker


def test_an_empty_list_needs_two_consecutive_reads() -> None:
    reconciler = WorkerListReconciler()
    assert names(reconciler.reconcile([worker("a")], 1)) == ["a"]
    assert reconciler.reconcile([], 1) is None
    assert names(reconciler.reconcile([worker("a")], 1)) == ["a"]
    assert reconciler.reconcile([], 1) is None
    assert reconciler.reconcile([], 1) == []


def test_an_empty_list_is_accepted_at_the_start() -> None:
    assert WorkerListReconciler().reconcile([], 1) == []


def test_a_worker_missing_from_one_multi_page_read_stays_until_the_next() -> None:
    reconciler = WorkerListReconciler()
    reconciler.reconcile([worker("a"), worker("b")], 2)
    assert names(reconciler.reconcile([worker("a")], 2)) == ["a", "b"]
    assert names(reconciler.reconcile([worker("a")], 2)) == ["a"]
    reconciler.reconcile([worker("a"), worker("b")], 2)
    assert names(reconciler.reconcile([worker("a")], 1)) == ["a"]


def test_an_entry_seen_on_two_pages_counts_once() -> None:
    assert names(WorkerListReconciler().reconcile([worker("b"), worker("a"), worker("b")], 2)) == ["a", "b"]
