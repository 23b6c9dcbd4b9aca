"""Changes that move ordered routes between services, and drop services that no route uses any more."""

from __future__ import annotations

import copy
import random
from typing import Any

from hollowusher.simulation import reference_model as model
from hollowusher.simulation.deployment import (
    FIXED,
    PULL,
    PUSH,
    SECOND_FIXED,
    first_configuration,
    second_fixed_service,
)

MOVED_ROUTES = ("line", "ordered")
TARGETS = (PUSH, PULL, FIXED, SECOND_FIXED, SECOND_FIXED)
DROP_SHARE = 0.5  # of the moves after which no route uses the former service


class RouteMoves:
    """Draws changes of the service of an ordered route."""

    def __init__(self, random_source: random.Random) -> None:
        self._random_source = random_source
        services = [*first_configuration()["upstreams"], second_fixed_service()]
        self._services: dict[str, dict[str, Any]] = {service["name"]: service for service in services}

    def next_patch(self, base: dict[str, Any], generation: int) -> tuple[dict[str, Any], dict[str, Any]]:
        """Draw a PATCH of `base`; return it and the complete configuration that results."""
        name = self._random_source.choice(MOVED_ROUTES)
        route = copy.deepcopy(next(each for each in base["routes"] if each["name"] == name))
        former = route["upstream"]
        route["upstream"] = self._random_source.choice([each for each in TARGETS if each != former])
        patch: dict[str, Any] = {
            "generation": generation,
            "upsert": {"routes": [route], "upstreams": [self._services[route["upstream"]]]},
        }
        moved = model.effective_document(base, patch)
        is_used = any(each["upstream"] == former for each in moved["routes"])
        if not is_used and self._random_source.random() < DROP_SHARE:
            patch["delete"] = {"upstreams": [former]}
        return patch, model.effective_document(base, patch)
