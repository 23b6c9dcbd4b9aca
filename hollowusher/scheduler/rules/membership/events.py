"""The events that a member emits to its caller."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Change(Enum):
    """The kind of an event: a change of another member, or of this member's own state."""

    JOINED = "joined"  # a member became present
    RESTARTED = "restarted"  # another process runs under the name; the state of the earlier one is lost
    SUSPECTED = "suspected"  # a member became suspect
    CLEARED = "cleared"  # a suspect is alive again
    DIED = "died"  # a member was declared dead
    LEFT = "left"  # a member left in good order
    TWIN = "twin"  # two processes use one name
    REFUTED = "refuted"  # this member refuted a suspicion or a death of itself
    PAUSED = "paused"  # this process did not run for a while; it has extended its suspicions
    DEAF = "deaf"  # this member receives no messages
    HEARING = "hearing"  # this member receives messages again
    MINORITY = "minority"  # this member is not in contact with a majority of the configured names
    MAJORITY = "majority"  # this member is in contact with a majority of them again


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """One event: the kind, the member's name, the reason, and the number of the resulting view."""

    change: Change
    name: str
    why: str = ""
    number: int = 0
