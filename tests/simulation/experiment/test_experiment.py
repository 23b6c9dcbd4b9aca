"""A short experiment: a planted worse variant is told worse, and an equal one is not told apart."""

from __future__ import annotations

from hollowusher.simulation.experiment.experiment import Experiment
from hollowusher.simulation.experiment.report import compare
from hollowusher.simulation.experiment.scenario import parse_scenario
from hollowusher.simulation.experiment.variants import BASE, parse_variant

SLOW_DETECTOR = "coordination.membership.failure_detector.HEARTBEAT_TIMEOUT_S=7"
EQUAL = "dispatch.worker_flow_control.MAX_UNREACHABLE_PAUSE_S=1"  # no endpoint is unreachable
SCENARIO = {
    "traffic_s": 20.0,
    "calm_s": 12.0,
    "size": {"controllers": 3, "plain_edges": 1, "stores": 3},
    "class": [{"route": "ordered", "rate": 6.0, "keys": 24}],
    "trouble": [  # one of them has the primary of the home partition
        {"at": at, "kind": "power", "machine": machine, "for_s": 3.0}
        for at, machine in ((1.0, "store-1"), (8.5, "store-2"), (16.0, "store-3"))
    ],
}


def test_slow_failure_detector_is_told_worse_and_an_equal_variant_is_not() -> None:
    scenario = parse_scenario("loss", SCENARIO)
    experiment = Experiment([scenario], [parse_variant(SLOW_DETECTOR), parse_variant(EQUAL)], range(1, 5))
    documents = list(experiment.play(jobs=3, minutes=5.0, until_error=0.0))
    assert len(documents) == 12
    differences = compare(experiment.results, BASE, "worth")
    worse, equal = differences["loss", SLOW_DETECTOR], differences["loss", EQUAL]
    assert worse.high < 0.0
    assert equal.mean == equal.low == equal.high == 0.0
    assert any(SLOW_DETECTOR in line for line in experiment.lines())
