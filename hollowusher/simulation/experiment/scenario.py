"""Scenarios of experiments: TOML files with machines, traffic, faults, and what a message is worth.

    traffic_s = 20.0
    [size]                     # fields of `DeploymentSize`
    stores = 5
    [[class]]
    route = "push"             # a route of the simulation's deployment
    rate = 12.0                # messages a second
    worth = 1.0
    [[trouble]]                # as in the scripts of the simulation
    at = 8.0
    kind = "herd_power"
    [[endpoint_outage]]
    at = 6.0
    for_s = 5.0

Every key is checked; an `ExperimentError` names the file and the key.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

import attrs

from hollowusher.simulation.clients import MessageStream
from hollowusher.simulation.cluster import DeploymentSize
from hollowusher.simulation.deployment import RECEIVERS, ROUTES, RouteTemplate
from hollowusher.simulation.experiment.errors import ExperimentError
from hollowusher.simulation.faults.context import FAULT_KINDS, FaultRequest
from hollowusher.simulation.faults.script import ScriptedFault
from hollowusher.simulation.simulation_run import SimulationPlan

SCENARIO_FOLDER = Path(__file__).parent / "scenarios"
Part = TypeVar("Part")
_ROUTES: Mapping[str, RouteTemplate] = {route.name: route for route in ROUTES}


@attrs.frozen
class MessageClass:
    """One class of messages: how many there are, and what one of them is worth."""

    route: str
    rate: float  # a second
    worth: float = 1.0
    late_worth: float = 0.3
    accept_within_s: float = 0.15  # from the first try to the 202; later ones are worth nothing
    start_within_s: float = 1.0  # from the first try, or from the end of the delay
    late_within_s: float = 15.0  # a start after `start_within_s` earns the late worth until then
    keys: int = 0
    delayed_share: float = 0.0
    body_bytes: int = 1000

    def stream(self) -> MessageStream:
        """Return the traffic of this class."""
        route = _ROUTES[self.route]
        return MessageStream(
            self.route,
            route.service,
            route.prefix,
            self.rate,
            deadline_s=1.0,
            keys=self.keys,
            callback_hosts=RECEIVERS if route.callback else (),
            delayed_share=self.delayed_share,
            poison_share=0.0,
            failing_share=0.0,
            body_bytes=self.body_bytes,
        )


@attrs.frozen
class EndpointOutage:
    """The fixed endpoint is down for a while."""

    at: float
    for_s: float


@attrs.frozen
class Scenario:
    """One scenario."""

    name: str
    size: DeploymentSize
    classes: tuple[MessageClass, ...]
    troubles: tuple[ScriptedFault, ...] = ()
    endpoint_outages: tuple[EndpointOutage, ...] = ()
    traffic_s: float = 20.0
    calm_s: float = 14.0

    def plan(self) -> SimulationPlan:
        """Return the plan of a day."""
        return SimulationPlan(
            size=self.size,
            traffic_s=self.traffic_s,
            calm_s=self.calm_s,
            inject_faults=bool(self.troubles),
            inject_worker_faults=False,
            changes=False,
            final_fault=False,
            script=self.troubles,
            streams=tuple(each.stream() for each in self.classes),
            endpoint_outages=tuple((outage.at, outage.for_s) for outage in self.endpoint_outages),
        )


def shipped_scenarios() -> list[Path]:
    """Return the files of the scenarios that come with the program."""
    return sorted(SCENARIO_FOLDER.glob("*.toml"))


def read_scenario(path: Path) -> Scenario:
    """Read a scenario's file."""
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ExperimentError(f"{path}: {error}") from None
    return parse_scenario(path.stem, document)


def parse_scenario(name: str, document: Mapping[str, Any]) -> Scenario:
    """Check a scenario's document and return the scenario."""
    rest = dict(document)
    classes = tuple(_parse_class(name, entry) for entry in rest.pop("class", []))
    if not classes:
        raise ExperimentError(f"{name}: class: at least one is wanted")
    return Scenario(
        name,
        _build(name, "size", DeploymentSize, rest.pop("size", {})),
        classes,
        tuple(_parse_trouble(name, entry) for entry in rest.pop("trouble", [])),
        tuple(
            _build(name, "endpoint_outage", EndpointOutage, entry)
            for entry in rest.pop("endpoint_outage", [])
        ),
        **_durations(name, rest),
    )


def _parse_class(name: str, entry: Mapping[str, Any]) -> MessageClass:
    parsed = _build(name, "class", MessageClass, entry)
    if parsed.route not in _ROUTES:
        raise ExperimentError(f"{name}: class.route: no service has a route {parsed.route!r}")
    if parsed.rate <= 0:
        raise ExperimentError(f"{name}: class.rate: {parsed.rate} is not above 0")
    return parsed


def _parse_trouble(name: str, entry: Mapping[str, Any]) -> ScriptedFault:
    words = dict(entry)
    at, beside = words.pop("at", None), words.pop("beside", False)
    if not isinstance(at, int | float):
        raise ExperimentError(f"{name}: trouble.at: a number of seconds is wanted")
    request = _build(name, "trouble", FaultRequest, words)
    if request.kind not in FAULT_KINDS:
        raise ExperimentError(f"{name}: trouble.kind: no fault is called {request.kind!r}")
    return ScriptedFault(float(at), request, bool(beside))


def _durations(name: str, rest: Mapping[str, Any]) -> dict[str, float]:
    durations: dict[str, float] = {}
    for key, value in rest.items():
        if key not in ("traffic_s", "calm_s"):
            raise ExperimentError(f"{name}: {key}: no such key")
        if not isinstance(value, int | float) or value <= 0:
            raise ExperimentError(f"{name}: {key}: {value!r} is not a number of seconds above 0")
        durations[key] = float(value)
    return durations


def _build(name: str, key: str, kind: Callable[..., Part], values: Mapping[str, Any]) -> Part:
    try:
        return kind(**values)
    except TypeError as error:
        raise ExperimentError(f"{name}: {key}: {error}") from None
