"""What a member tells those who are built on it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Change(Enum):
    """What has changed in a view, or what a member has learnt of itself."""

    JOINED = "joined"  # a member is there that was not
    RESTARTED = "restarted"  # the same name, another process: what it held is lost
    SUSPECTED = "suspected"
    CLEARED = "cleared"  # it is no longer suspect
    DIED = "died"
    LEFT = "left"
    TWIN = "twin"  # two processes speak under one name
    REFUTED = "refuted"  # we were accused, and say that we are here
    PAUSED = "paused"  # we did not run for a while, and judge nobody by what we missed
    DEAF = "deaf"  # we hear nobody
    HEARING = "hearing"  # we hear others again
    MINORITY = "minority"  # we reach no majority of the configured names
    MAJORITY = "majority"


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """One change, of whom, why, and the number of the view it led to."""

    change: Change
    name: str
    why: str = ""
    number: int = 0
