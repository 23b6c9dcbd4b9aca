"""An edge process reads the control status from the head, or else from the best-informed controller."""

from __future__ import annotations

import asyncio
from typing import Any

from hollowusher.coordination.cluster_state import VIEW, ClusterState
from hollowusher.coordination.consensus.paxos import first_view
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_status import ControlStatus, ReadControlStatus, VoterStatus
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.view import Voter
from hollowusher.roles.control_status_query import ControlStatusQuery
from hollowusher.transport.interface import Handler, PeerError, Transport

NAMES = ("a", "b", "c")


def status_of(name: str, **changes: Any) -> ControlStatus:
    voters = [VoterStatus(each, f"disk-{each}", True, True, True) for each in NAMES]
    plain = ControlStatus(name, 3, 9, 2, "a", "c", False, 2, voters, [], 1, 1)
    return evolve(plain, **changes)


class Controllers(Transport):
    """A transport with the responses of some controllers; the other controllers do not respond."""

    address = "edge-9:7780"

    def __init__(self, *answers: ControlStatus) -> None:
        self.answers = {f"{answer.answered_by}:7780": answer for answer in answers}
        self.asked: list[str] = []

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        assert message == ReadControlStatus()
        self.asked.append(address)
        if address not in self.answers:
            raise PeerError("ReadControlStatus", address, "no answer in time")
        return self.answers[address]

    def send(self, address: str, message: Any) -> None:
        raise AssertionError("the query must use call, not send")

    async def start(self, handler: Handler) -> None:
        """Do nothing: no controller calls this process."""

    async def close(self) -> None:
        """Do nothing: there are no connections."""


def query(controllers: Controllers, me: str = "edge-9") -> ControlStatus | None:
    state = ClusterState()
    view = first_view([Voter(name, f"disk-{name}", f"{name}:7780") for name in NAMES])
    state.apply([DistributedItem(VIEW, [1], "test", 1, view)], {})

    async def handle_locally(message: Any) -> Any:
        return await controllers.call(f"{me}:7780", message, 1.0)

    return asyncio.run(ControlStatusQuery(me, state, controllers, handle_locally)())


def test_only_the_head_is_queried_if_it_leads() -> None:
    head = status_of("a", leads=True)
    controllers = Controllers(head, status_of("b"), status_of("c"))
    assert query(controllers) == head
    assert controllers.asked == ["a:7780"]


def test_without_the_head_the_status_of_the_newest_epoch_is_returned() -> None:
    newer = status_of("c", epoch=4)
    assert query(Controllers(status_of("b"), newer)) == newer


def test_the_status_of_a_head_without_a_majority_is_used_if_no_other_responds() -> None:
    alone = status_of("a")
    assert query(Controllers(alone)) == alone
    assert query(Controllers(alone), me="a") == alone


def test_no_controller_responds() -> None:
    assert query(Controllers()) is None
