"""What a check is: the violation that it finds, and the figures of the deployment that it needs."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from hollowusher.simulation import reference_model as model
from hollowusher.simulation.observations import Observations, SentMessage

CONFIG_APPLY_S = 3.0  # `configApplyMs`
CONTACT_S = 4.0  # a fault counts for so long after its end


@dataclass(frozen=True)
class RuleViolation:
    """A violation of a rule, as the outside saw it."""

    rule: str
    subject: str
    text: str
    at: float

    def __str__(self) -> str:
        return f"{self.rule} {self.subject} at {self.at:.3f}: {self.text}"


@dataclass(frozen=True)
class DeploymentRules:
    """The figures of the deployment that the checks need."""

    routes: dict[str, model.RouteRules]
    rates: dict[str, float]  # service -> messages a second
    clock_skew_s: float = 0.0  # of each machine, either way
    status_s: float = 120.0  # an ended message's state is told for so long
    serve_everything: bool = True  # also check that all was done by the calm end (priced, not forbidden)


Check = Callable[[Observations, DeploymentRules], Iterator[RuleViolation]]


def accepted_messages(observations: Observations) -> list[SentMessage]:
    """Return the messages whose 202 reached the client."""
    return [message for message in observations.messages.values() if message.accepted]
