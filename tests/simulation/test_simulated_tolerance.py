"""When the simulation may play the next loss: at the edge of what the deployment bears, and not before."""

from __future__ import annotations

from hollowusher.simulation.faults.tolerance import NEVER, LossTolerance

CATCH_UP_S = 4.2


class TestTolerance:
    """The bookkeeping of losses."""

    def test_a_loss_is_allowed_where_none_is_lost(self) -> None:
        assert LossTolerance(1, CATCH_UP_S).next_loss_allowed_at(10.0) == 10.0

    def test_a_deployment_that_bears_none_never_allows_one(self) -> None:
        assert LossTolerance(0, CATCH_UP_S).next_loss_allowed_at(10.0) == NEVER

    def test_nothing_is_allowed_while_a_machine_is_away(self) -> None:
        tolerance = LossTolerance(1, CATCH_UP_S)
        tolerance.record_loss("a")
        assert tolerance.next_loss_allowed_at(10.0) == NEVER
        assert tolerance.lost_machines(10.0) == ["a"]

    def test_the_next_loss_comes_when_the_returned_machine_has_had_its_time(self) -> None:
        tolerance = LossTolerance(1, CATCH_UP_S)
        tolerance.record_loss("a")
        tolerance.record_return("a", 12.0)
        assert tolerance.next_loss_allowed_at(13.0) == 12.0 + CATCH_UP_S
        assert tolerance.next_loss_allowed_at(12.0 + CATCH_UP_S) == 12.0 + CATCH_UP_S
        assert tolerance.lost_machines(12.0 + CATCH_UP_S) == []

    def test_a_second_loss_of_the_same_machine_counts_anew(self) -> None:
        tolerance = LossTolerance(1, CATCH_UP_S)
        tolerance.record_loss("a")
        tolerance.record_return("a", 12.0)
        tolerance.record_loss("a")
        assert tolerance.next_loss_allowed_at(20.0) == NEVER

    def test_a_removed_machine_counts_until_its_successor_has_had_its_time(self) -> None:
        tolerance = LossTolerance(1, CATCH_UP_S)
        tolerance.record_loss("old")
        tolerance.record_replacement("old", successor_started_at=10.0, now=11.0)
        assert tolerance.next_loss_allowed_at(11.0) == 10.0 + CATCH_UP_S

    def test_a_machine_whose_successor_had_its_time_before_counts_no_longer_once_it_is_gone(self) -> None:
        tolerance = LossTolerance(1, CATCH_UP_S)
        tolerance.record_loss("old")
        tolerance.record_replacement("old", successor_started_at=10.0, now=20.0)
        assert tolerance.next_loss_allowed_at(20.0) == 20.0

    def test_two_are_borne_where_two_are_tolerated(self) -> None:
        tolerance = LossTolerance(2, CATCH_UP_S)
        tolerance.record_loss("a")
        assert tolerance.next_loss_allowed_at(10.0) == 10.0
        assert tolerance.next_loss_allowed_at(10.0, count=2) == NEVER
        tolerance.record_loss("b")
        tolerance.record_return("a", 11.0)
        tolerance.record_return("b", 14.0)
        assert tolerance.next_loss_allowed_at(14.0) == 11.0 + CATCH_UP_S
        assert tolerance.next_loss_allowed_at(14.0, count=2) == 14.0 + CATCH_UP_S

    def test_an_emptied_machine_is_no_loss(self) -> None:
        tolerance = LossTolerance(1, CATCH_UP_S)
        tolerance.record_loss("a")
        tolerance.forget("a")
        assert tolerance.next_loss_allowed_at(10.0) == 10.0

    def test_a_machine_that_was_not_lost_does_not_count_by_its_return(self) -> None:
        tolerance = LossTolerance(1, CATCH_UP_S)
        tolerance.record_return("a", 10.0)
        assert tolerance.next_loss_allowed_at(10.0) == 10.0
