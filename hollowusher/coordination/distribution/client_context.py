"""The context that the components of one process's cluster client share."""

from __future__ import annotations

import asyncio
import random

import attrs

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.consensus.view_discovery import ViewDiscovery
from hollowusher.coordination.controller_selector import ControllerSelector
from hollowusher.protocol.view import Voter
from hollowusher.transport.interface import Transport

CALL_TIMEOUT_S = 0.6


@attrs.frozen(eq=False)
class ClientContext:
    """The shared state and services of a cluster client's components.

    `ClusterState` owns the distributed values, and `ControllerSelector` owns the recent call results of each
    controller.  `name` and `address` identify this process.
    """

    name: str
    address: str
    transport: Transport
    state: ClusterState
    random_source: random.Random
    selector: ControllerSelector
    discovery: ViewDiscovery

    @staticmethod
    def now() -> float:
        """Return the time of the event loop's monotonic clock in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def voters(self) -> list[Voter]:
        """The voters of the newest known view."""
        view = self.state.view
        return [] if view is None else view.voters

    @property
    def other_voters(self) -> list[Voter]:
        """The voters except this process."""
        return [voter for voter in self.voters if voter.address != self.address]

    @property
    def is_voter(self) -> bool:
        """Whether this process is a voter."""
        return any(voter.name == self.name for voter in self.voters)

    def ranked_voters(self) -> list[Voter]:
        """Return the voters in this process's order of preference, with the most preferred one first."""
        return self.selector.rank_controllers(self.voters, self.state.members, self.now())

    def committed_state_sources(self) -> list[Voter]:
        """Return the voters to query for the committed state, with the chain's tail first."""
        view = self.state.view
        tail = "" if view is None else view.tail
        return sorted(self.voters, key=lambda voter: voter.name != tail)
