"""The checks of control under losses: each finds a history that breaks it, and passes one that does not."""

from __future__ import annotations

from typing import Any, ClassVar

from hollowusher.simulation.checks.rules import DeploymentRules
from hollowusher.simulation.invariants import find_violations
from hollowusher.simulation.observations import (
    ConfigurationOrder,
    ConfigurationRead,
    InjectedFault,
    LivenessFailure,
    MessageStateResponse,
    Observations,
    ObservedShutdown,
    ReceivedCallback,
    RepeatedLeaseEnd,
    SentMessage,
    StoreRetirement,
    WorkerRun,
)
from hollowusher.simulation.reference_model import RouteRules


class History:
    """A small history of one route."""

    ROUTES: ClassVar = {"r": RouteRules("r", "push", 2, 100.0, 2.0, ordered=False)}

    def __init__(self) -> None:
        self.observations = Observations(calm_since=30.0, ended_at=50.0)

    def sent(self, identifier: str, at: float = 1.0, **changes: Any) -> SentMessage:
        message = SentMessage(
            identifier, "r", "push", b"body", "", 0.0, "", "edge-1", 1, at, 202, at + 0.1, identifier
        )
        for name, value in changes.items():
            setattr(message, name, value)
        self.observations.messages[identifier] = message
        return message

    def ran(self, identifier: str, at: float, result: str = "success", key: str | None = None) -> WorkerRun:
        signature = "s1" if result == "success" else ""
        run = WorkerRun(identifier, "push", "w", at, b"body", at + 0.2, result, signature, at + 0.21)
        run.ordering_key = key
        self.observations.runs.append(run)
        return run

    def order(
        self, base: int, generation: int, acknowledged: float | None = None, refused: float | None = None
    ) -> ConfigurationOrder:
        document = {
            "generation": generation,
            "limits": {},
            "upstreams": [],
            "routes": [{"name": "r", "upstream": "push"}],
        }
        number = len(self.observations.orders) + 1
        order = ConfigurationOrder(
            number, base, generation, document, True, 1.0 + number, acknowledged, refused
        )
        self.observations.orders.append(order)
        return order

    def read_back(self, order: ConfigurationOrder) -> None:
        self.observations.reads.append(ConfigurationRead(45.0, 44.9, "edge-1", order.document, final=True))

    def violated_rules(self) -> list[str]:
        return sorted(
            {found.rule for found in find_violations(self.observations, DeploymentRules(self.ROUTES, {}))}
        )


class TestMovedRoutes:
    """CONFIG and ROUTE while changes give a route another service."""

    def history(self) -> History:
        history = History()
        history.order(1, 2, acknowledged=3.0)
        moved = history.order(2, 3, acknowledged=10.0)
        moved.document["routes"] = [{"name": "r", "upstream": "pull"}]
        history.read_back(moved)
        return history

    def run_at(self, history: History, sent_at: float, service: str) -> list[str]:
        history.sent("a", sent_at)
        history.ran("a", sent_at + 0.2).service = service
        return history.violated_rules()

    def test_a_message_sent_shortly_after_the_change_may_run_at_either_service(self) -> None:
        for service in ("push", "pull"):
            assert self.run_at(self.history(), 12.0, service) == []

    def test_a_message_sent_long_after_the_change_runs_at_the_new_service(self) -> None:
        assert self.run_at(self.history(), 14.0, "pull") == []
        assert self.run_at(self.history(), 14.0, "push") == ["CONFIG"]

    def test_a_fault_excuses_the_former_service(self) -> None:
        history = self.history()
        history.observations.faults.append(InjectedFault("cut", "edge-1", 9.0, 11.0))
        assert self.run_at(history, 14.0, "push") == []

    def test_a_service_that_no_configuration_names_is_found(self) -> None:
        assert "ROUTE" in self.run_at(self.history(), 12.0, "other")


class TestMessages:
    """Rules about single messages."""

    def test_a_changed_ordering_key_is_unasked(self) -> None:
        history = History()
        history.sent("a", ordering_key="k")
        run = history.ran("a", 2.0, key="k")
        assert history.violated_rules() == []
        run.ordering_key = "other"
        assert history.violated_rules() == ["UNASKED"]

    def test_a_key_that_was_never_sent_is_unasked(self) -> None:
        history = History()
        history.sent("a")
        history.ran("a", 2.0, key="made up")
        assert history.violated_rules() == ["UNASKED"]

    def test_a_run_before_its_delay_is_over(self) -> None:
        history = History()
        history.sent("a", delay_s=3.0)
        history.ran("a", 3.75)
        assert "ORDER" not in history.violated_rules()
        history.ran("a", 3.6)
        assert "ORDER" in history.violated_rules()

    def test_failures_are_limited(self) -> None:
        history = History()
        history.sent("a")
        for number in range(6):
            history.ran("a", 2.0 + number, "failed")
        assert history.violated_rules() == []
        history.ran("a", 9.0, "failed")
        assert history.violated_rules() == ["BUDGET"]

    def test_refusals_for_good_are_limited(self) -> None:
        history = History()
        history.sent("a")
        for number in range(3):
            history.ran("a", 2.0 + number, "refused")
        assert history.violated_rules() == []
        history.ran("a", 9.0, "refused")
        assert history.violated_rules() == ["BUDGET"]

    def test_a_refused_repeat_of_a_taken_end(self) -> None:
        history = History()
        history.observations.repeated_ends.append(RepeatedLeaseEnd("a", "lease", 200, 20.0))
        history.observations.repeated_ends.append(RepeatedLeaseEnd("a", "lease", None, 20.0))
        assert history.violated_rules() == []
        history.observations.repeated_ends.append(RepeatedLeaseEnd("a", "lease", 409, 20.0))
        assert history.violated_rules() == ["MIXED"]

    def test_a_refused_repeat_counts_only_for_machines_in_touch(self) -> None:
        history = History()
        history.observations.repeated_ends.append(RepeatedLeaseEnd("a", "lease", 409, 20.0))
        history.observations.faults.append(InjectedFault("freeze", "edge-1", 17.0, 18.0))
        assert history.violated_rules() == []


class TestForgotten:
    """Accepted messages that nobody knows, or that nobody goes on with."""

    def test_unknown_seconds_after_the_accept(self) -> None:
        history = History()
        history.sent("a")
        history.ran("a", 2.0)
        history.observations.states.append(MessageStateResponse("a", 2.9, 404))
        assert history.violated_rules() == []
        history.observations.states.append(MessageStateResponse("a", 3.2, 404))
        assert history.violated_rules() == ["LOST"]

    def test_unknown_with_faults_is_not_counted(self) -> None:
        history = History()
        history.sent("a")
        history.ran("a", 2.0)
        history.observations.states.append(MessageStateResponse("a", 8.0, 410))
        history.observations.faults.append(InjectedFault("cut", "edge-1", 5.0, 6.0))
        assert history.violated_rules() == []

    def test_queued_at_the_end_while_nothing_is_done(self) -> None:
        history = History()
        history.sent("a")
        history.observations.states.append(
            MessageStateResponse("a", 49.0, 200, "queued", body=b"body", final=True)
        )
        assert history.violated_rules() == ["LOST", "UNSERVED"]

    def test_queued_at_the_end_while_others_succeed(self) -> None:
        history = History()
        history.sent("a")
        history.sent("b")
        history.ran("b", 48.0)
        history.observations.states.append(
            MessageStateResponse("a", 49.0, 200, "queued", body=b"body", final=True)
        )
        assert history.violated_rules() == ["UNSERVED"]

    def test_three_call_backs_missing(self) -> None:
        history = History()
        for name in "abc":
            history.sent(name, callback_url="http://h/done")
            history.ran(name, 2.0)
        assert history.violated_rules() == ["LOST", "UNTOLD"]
        history.observations.callbacks.append(
            ReceivedCallback("a", "http://h/done", "completed", "s1", 3.0, 200)
        )
        assert history.violated_rules() == ["UNTOLD"]


class TestControl:
    """Orders, stops, emptied stores, and liveness."""

    def test_an_order_on_the_newest_version_is_not_refused(self) -> None:
        history = History()
        first = history.order(0, 2, acknowledged=2.5)
        history.read_back(first)
        assert history.violated_rules() == []
        history.order(2, 4, refused=8.0)
        assert history.violated_rules() == ["CONFIG"]

    def test_an_order_is_refused_where_another_may_be_in_force(self) -> None:
        history = History()
        history.order(0, 2, acknowledged=2.5)
        other = history.order(2, 3)
        history.order(2, 4, refused=8.0)
        history.read_back(other)
        assert history.violated_rules() == []

    def test_ready_after_sigterm(self) -> None:
        history = History()
        history.observations.shutdowns.append(ObservedShutdown("edge-1", 10.0, still_ready=False))
        assert history.violated_rules() == []
        history.observations.shutdowns.append(ObservedShutdown("edge-1", 20.0, still_ready=True))
        assert history.violated_rules() == ["DRAIN"]

    def test_a_store_is_emptied_in_time(self) -> None:
        history = History()
        history.observations.retirements.append(StoreRetirement("store-1", 10.0, 19.0, True, 10.0, False))
        assert history.violated_rules() == []
        history.observations.retirements.append(StoreRetirement("store-1", 10.0, 21.0, True, 10.0, False))
        assert history.violated_rules() == ["RETIRE"]

    def test_a_store_that_is_never_emptied(self) -> None:
        history = History()
        history.observations.retirements.append(StoreRetirement("store-1", 10.0, 19.0, False, 10.0, True))
        assert history.violated_rules() == ["RETIRE"]

    def test_liveness(self) -> None:
        history = History()
        history.observations.liveness_failures.append(LivenessFailure("order", "was not taken", 43.0))
        assert history.violated_rules() == ["LIVENESS"]
