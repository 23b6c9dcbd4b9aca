"""Commit quorums and takeover quorums intersect, so a new primary finds every committed record."""

from __future__ import annotations

import pytest

from hollowusher.coordination.quorum import commit_quorum, takeover_quorum


@pytest.mark.parametrize("replicas", range(1, 12))
@pytest.mark.parametrize("tolerance", range(4))
def test_commit_and_takeover_quorums_intersect(replicas: int, tolerance: int) -> None:
    commit, takeover = commit_quorum(replicas, tolerance), takeover_quorum(replicas, tolerance)
    assert commit + takeover > replicas
    assert 1 <= commit <= takeover <= replicas


@pytest.mark.parametrize("tolerance", range(4))
def test_a_full_set_of_replicas_serves_after_the_tolerated_number_of_losses(tolerance: int) -> None:
    replicas = 2 * tolerance + 1
    assert commit_quorum(replicas, tolerance) == tolerance + 1
    assert takeover_quorum(replicas, tolerance) == replicas - tolerance
