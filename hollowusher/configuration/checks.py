"""Validates a configuration before a controller accepts it.

Each `Fault` names the invalid item and the reason.  The expected types are those of the dataclasses in
`model`; keys that the model does not define are kept unchecked.
"""

from __future__ import annotations

import dataclasses
import functools
import types
from collections.abc import Callable
from typing import Any, Union, get_args, get_origin, get_type_hints

from expression import Error, Ok, Result
from mashumaro.codecs.basic import BasicDecoder
from mashumaro.exceptions import InvalidFieldValue, MissingField

from hollowusher.configuration.host_names import normalized_host
from hollowusher.configuration.model import Configuration, RequestLimits, Route, Service
from hollowusher.configuration.paths import normalized_path

ROUTES = "routes"
SERVICES = "upstreams"
LIMITS = "limits"
LISTS = (ROUTES, SERVICES)
_MODELS: dict[str, type] = {ROUTES: Route, SERVICES: Service}
Document = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A validation error: the invalid item and the reason."""

    item: str
    reason: str

    def __str__(self) -> str:
        return f"{self.item}: {self.reason}"


Checked = Result[Configuration, Fault]
Check = Callable[[Document], Fault | None]


@functools.cache
def _decoder() -> BasicDecoder[Configuration]:
    return BasicDecoder(Configuration)


def check_document(document: Document) -> Checked:
    """Validate and decode a complete configuration document; return the first fault as the error."""
    for check in _CHECKS:
        fault = check(document)
        if fault is not None:
            return Error(fault)
    try:
        return Ok(_decoder().decode(document))
    except MissingField as error:
        return Error(Fault("configuration", f"{error.field_name} is missing"))
    except InvalidFieldValue as error:
        return Error(Fault("configuration", f"{error.field_name} has an unusable value"))


def check_items(section: str, items: Any) -> Fault | None:
    """Return the first fault of a section's list; items must be valid and have unique names."""
    if not isinstance(items, list):
        return Fault(section, "is not a list")
    names: set[str] = set()
    for number, item in enumerate(items):
        fault = _check_item(section, number, item)
        if fault is not None:
            return fault
        if item["name"] in names:
            return Fault(f"{section} {item['name']}", "the name stands twice")
        names.add(item["name"])
    return None


def check_generation(value: Any) -> Fault | None:
    """Return a fault unless the generation is a positive integer."""
    if isinstance(value, bool) or not isinstance(value, int) or value <= 0:
        return Fault("generation", "is not a whole number above 0")
    return None


def _check_item(section: str, number: int, item: Any) -> Fault | None:
    if not isinstance(item, dict):
        return Fault(f"{section}[{number}]", "is not an object")
    name = item.get("name")
    if not isinstance(name, str) or not name:
        return Fault(f"{section}[{number}]", "has no name")
    label = f"{section} {name}"
    fault = _check_fields(label, _MODELS[section], item)
    if fault is not None:
        return fault
    return _check_route(label, item) if section == ROUTES else _check_service(label, item)


def _check_route(label: str, route: Document) -> Fault | None:
    if not normalized_host(route["hostname"]):
        return Fault(label, "hostname is empty")
    if not route["pathPrefix"].startswith("/"):
        return Fault(label, "pathPrefix does not start with /")
    if "timeoutMs" not in route:
        return Fault(label, "timeoutMs is missing")
    if route["timeoutMs"] <= 0:
        return Fault(label, "timeoutMs is not above 0")
    if route.get("maxAttempts", 1) < 1:
        return Fault(label, "maxAttempts is below 1")
    return None


def _check_service(label: str, service: Document) -> Fault | None:
    fixed = service.get("fixed")
    if fixed is not None and not is_host_port(fixed):
        return Fault(label, "fixed is not host:port")
    return None


def is_host_port(text: str) -> bool:
    """Return whether a text has the form HOST:PORT with a port from 1 to 65535."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < int(port[:6]) < 65_536


def _check_fields(label: str, model: type, values: Document) -> Fault | None:
    """Check that required keys are present, that types match the model and that numbers are not negative."""
    hints = get_type_hints(model)
    for field in dataclasses.fields(model):
        key = field.metadata.get("alias", field.name)
        if key not in values:
            if field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING:
                return Fault(label, f"{key} is missing")
            continue
        if not _fits(values[key], hints[field.name]):
            return Fault(label, f"{key} has a wrong type or is negative")
    return None


def _fits(value: Any, hint: Any) -> bool:
    if get_origin(hint) in (Union, types.UnionType):
        return any(_fits(value, choice) for choice in get_args(hint))
    if hint is type(None):
        return value is None
    if hint in (int, float):
        return isinstance(value, int | float) and not isinstance(value, bool) and value >= 0
    return isinstance(value, hint)


def _check_generation_of(document: Document) -> Fault | None:
    return check_generation(document.get("generation"))


def _check_lists(document: Document) -> Fault | None:
    for section in LISTS:
        if section not in document:
            return Fault(section, "is missing")
        fault = check_items(section, document[section])
        if fault is not None:
            return fault
    return None


def _check_limits(document: Document) -> Fault | None:
    limits = document.get(LIMITS)
    if not isinstance(limits, dict):
        return Fault(LIMITS, "is missing or not an object")
    return _check_fields(LIMITS, RequestLimits, limits)


def _check_upstreams_known(document: Document) -> Fault | None:
    known = {service["name"] for service in document[SERVICES]}
    for route in document[ROUTES]:
        if route["upstream"] not in known:
            return Fault(f"{ROUTES} {route['name']}", f"names the unknown service {route['upstream']}")
    return None


def _check_prefixes(document: Document) -> Fault | None:
    names_by_prefix: dict[tuple[str, str], str] = {}
    for route in document[ROUTES]:
        host_and_prefix = (normalized_host(route["hostname"]), normalized_path(route["pathPrefix"]))
        if host_and_prefix in names_by_prefix:
            return Fault(
                f"{ROUTES} {route['name']}", f"has the host and prefix of {names_by_prefix[host_and_prefix]}"
            )
        names_by_prefix[host_and_prefix] = route["name"]
    return None


_CHECKS: tuple[Check, ...] = (
    _check_generation_of,
    _check_lists,
    _check_limits,
    _check_upstreams_known,
    _check_prefixes,
)
