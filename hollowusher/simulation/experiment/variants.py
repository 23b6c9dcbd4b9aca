"""The settings that a variant may change, and how they are changed.

Each is a constant of a module that decides; where a mechanism can be switched off, `off` is the value that
does so.  A variant is written as `name=value` or `name=off`.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import attrs

from hollowusher.simulation.experiment.errors import ExperimentError

NEVER_S = 1e6  # a time that does not come in a day
BASE = "base"  # the variant without changes


@attrs.frozen
class Setting:
    """A constant, by the module (below `hollowusher`) and its name, and the values it may take."""

    name: str
    least: float
    most: float
    off: float | None = None  # the value that switches the mechanism off; None: it is no mechanism
    mechanism: str = ""  # what it is, in a few words

    @property
    def module(self) -> str:
        """The module's full name."""
        return "hollowusher." + self.name.rpartition(".")[0]

    @property
    def constant(self) -> str:
        """The name within the module."""
        return self.name.rpartition(".")[2]


SETTINGS = {
    setting.name: setting
    for setting in (
        Setting(
            "messages.replication.deferred_copies.MAX_DEFERRAL_S", 0.0, 5.0, 0.03, "copies sent late or never"
        ),
        Setting(
            "messages.replication.partition_replicator.OTHER_ZONE_PENALTY_S",
            0.0,
            1.0,
            0.0,
            "near replicas first",
        ),
        Setting(
            "coordination.placement.zone_policy.HOME_QUORUMS", 0, 1, 0, "a commit quorum in the home zone"
        ),
        Setting("dispatch.worker_flow_control.OVERLAP_S", 0.0, 1.0, 0.0, "a few jobs wait in the worker"),
        Setting(
            "dispatch.worker_flow_control.MAX_UNREACHABLE_PAUSE_S", 0.1, 10.0, None, "pause of an endpoint"
        ),
        Setting(
            "dispatch.worker_flow_control.MAX_CONSECUTIVE_FAILURES", 1, 1e6, 1e6, "suspicion after failures"
        ),
        Setting(
            "dispatch.worker_flow_control.TIMEOUT_MEAN_RUNS", 1.0, NEVER_S, NEVER_S, "suspicion after silence"
        ),
        Setting("dispatch.service_dispatcher.MAX_WORKERS_PER_LEASE", 1, 10, 1, "refused jobs offered again"),
        Setting(
            "messages.partition.message_queue.LATE_LEASE_INTERVAL", 1, 1000, 1, "messages in time go first"
        ),
        Setting("intake.peer_health.SUSPECT_AFTER_S", 0.05, NEVER_S, NEVER_S, "silent stores are avoided"),
        Setting("intake.intake_service.REJECT_AFTER_SHARE", 0.05, 1.0, 1.0, "early refusal at intake"),
        Setting(
            "coordination.membership.failure_detector.HEARTBEAT_TIMEOUT_S",
            0.3,
            20.0,
            None,
            "failure detection",
        ),
        Setting(
            "dispatch.worker_flow_control.INITIAL_SLOTS", 1.0, 64.0, None, "slots of an unknown endpoint"
        ),
    )
}


@attrs.frozen
class Variant:
    """A variant: values of settings by name, none for the code as it is."""

    name: str
    values: tuple[tuple[str, float], ...] = ()


def parse_variant(text: str) -> Variant:
    """Return the variant that a text like `module.NAME=0.5,module.OTHER=off` describes."""
    values = tuple(_parse_value(part) for part in text.split(",")) if text != BASE else ()
    return Variant(text, values)


def _parse_value(text: str) -> tuple[str, float]:
    name, _, word = text.partition("=")
    setting = SETTINGS.get(name)
    if setting is None:
        raise ExperimentError(f"--set {text}: no setting is called {name!r}")
    if word == "off":
        if setting.off is None:
            raise ExperimentError(f"--set {text}: {name} cannot be switched off")
        return name, setting.off
    try:
        value = float(word)
    except ValueError:
        raise ExperimentError(f"--set {text}: {word!r} is not a number") from None
    if not setting.least <= value <= setting.most:
        raise ExperimentError(
            f"--set {text}: {value:g} is not between {setting.least:g} and {setting.most:g}"
        )
    return name, value


def ablations() -> list[Variant]:
    """Return a variant for each mechanism, with that mechanism switched off."""
    return [
        Variant(f"{setting.name}=off", ((setting.name, setting.off),))
        for setting in SETTINGS.values()
        if setting.off is not None
    ]


@contextmanager
def applied(variant: Variant) -> Iterator[None]:
    """Have the values of a variant in force, in every module that has imported the constant."""
    changed: list[tuple[Any, str, object]] = []
    for name, value in variant.values:
        setting = SETTINGS[name]
        owner = importlib.import_module(setting.module)
        former = getattr(owner, setting.constant)
        for module in _modules_with(setting.constant, former):
            changed.append((module, setting.constant, former))
            setattr(module, setting.constant, type(former)(value))
    try:
        yield
    finally:
        for module, constant, former in changed:
            setattr(module, constant, former)


def _modules_with(constant: str, value: object) -> Iterable[Any]:
    return [
        module
        for name, module in list(sys.modules.items())
        if name.startswith("hollowusher.") and getattr(module, constant, None) is value
    ]
