"""Bad input of experiments is told in one line that names it; variants change constants and put them back."""

from __future__ import annotations

import sys
from typing import Any

import pytest
from click.testing import CliRunner

from hollowusher.coordination.membership import failure_detector
from hollowusher.intake import peer_health
from hollowusher.simulation.experiment import variants
from hollowusher.simulation.experiment.__main__ import main
from hollowusher.simulation.experiment.errors import ExperimentError
from hollowusher.simulation.experiment.scenario import (
    parse_scenario,
    read_scenario,
    shipped_scenarios,
)

TIMEOUT = "coordination.membership.failure_detector.HEARTBEAT_TIMEOUT_S"
SUSPECT = "intake.peer_health.SUSPECT_AFTER_S"
CLASS = {"route": "push", "rate": 5.0}


@pytest.mark.parametrize(
    ("document", "key"),
    [
        ({}, "class"),
        ({"class": [{"route": "nowhere", "rate": 1.0}]}, "class.route"),
        ({"class": [{"route": "push", "rate": 0.0}]}, "class.rate"),
        ({"class": [{"route": "push", "rate": 1.0, "colour": "red"}]}, "class"),
        ({"class": [CLASS], "size": {"storse": 3}}, "size"),
        ({"class": [CLASS], "trouble": [{"kind": "kill"}]}, "trouble.at"),
        ({"class": [CLASS], "trouble": [{"at": 1.0, "kind": "earthquake"}]}, "trouble.kind"),
        ({"class": [CLASS], "endpoint_outage": [{"at": 1.0}]}, "endpoint_outage"),
        ({"class": [CLASS], "traffic_s": -1}, "traffic_s"),
        ({"class": [CLASS], "weather": "rain"}, "weather"),
    ],
)
def test_fault_of_a_scenario_names_the_key(document: dict[str, Any], key: str) -> None:
    with pytest.raises(ExperimentError, match=rf"^day: {key}: "):
        parse_scenario("day", document)


def test_all_shipped_scenarios_can_be_read() -> None:
    names = [read_scenario(path).name for path in shipped_scenarios()]
    assert {"calm", "all-power", "two-disks", "store-one-way", "endpoint-down"} <= set(names)


@pytest.mark.parametrize(
    "text", ["no.such.SETTING=1", f"{TIMEOUT}=off", f"{TIMEOUT}=soon", f"{TIMEOUT}=0.01", SUSPECT]
)
def test_fault_of_a_variant_names_it(text: str) -> None:
    with pytest.raises(ExperimentError, match="--set"):
        variants.parse_variant(text)


@pytest.mark.parametrize(
    "words",
    [
        ["--set", "no.such.SETTING=1"],
        ["--scenario", "no-such-scenario"],
        ["--seeds", "one"],
    ],
)
def test_bad_words_end_with_2_and_one_line(words: list[str]) -> None:
    result = CliRunner().invoke(main, words)
    assert result.exit_code == 2
    assert result.output.count("\n") == 1
    assert words[1] in result.output


def test_every_setting_exists_and_its_values_are_in_range() -> None:
    for setting in variants.SETTINGS.values():
        __import__(setting.module)
        present = getattr(sys.modules[setting.module], setting.constant)
        assert setting.least <= present <= setting.most
        assert setting.off is None or setting.least <= setting.off <= setting.most


def test_variant_is_in_force_within_its_scope_only() -> None:
    usual = failure_detector.HEARTBEAT_TIMEOUT_S, peer_health.SUSPECT_AFTER_S
    variant = variants.parse_variant(f"{TIMEOUT}=3,{SUSPECT}=off")
    with variants.applied(variant):
        assert failure_detector.HEARTBEAT_TIMEOUT_S == 3.0
        assert peer_health.SUSPECT_AFTER_S == variants.NEVER_S
    assert usual == (failure_detector.HEARTBEAT_TIMEOUT_S, peer_health.SUSPECT_AFTER_S)


def test_ablation_has_each_mechanism_once() -> None:
    names = [variant.name for variant in variants.ablations()]
    assert len(names) == len(set(names)) >= 8
