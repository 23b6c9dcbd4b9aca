"""Any edge process tells how control stands: asked of the head, else of whoever knows most."""

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
    """The controllers' answers by name; those that are not here are silent."""

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
        raise AssertionError("a question is called")

    async def start(self, handler: Handler) -> None:
        """Nobody calls here."""

    async def close(self) -> None:
        """Nothing is open."""


def ask(controllers: Controllers, me: str = "edge-9") -> ControlStatus | None:
    state = ClusterState()
    view = first_view([Voter(name, f"disk-{name}", f"{name}:7780") for name in NAMES])
    state.apply([DistributedItem(VIEW, [1], "test", 1, view)], {})

    async def here(message: Any) -> Any:
        return await controllers.call(f"{me}:7780", message, 1.0)

    return asyncio.run(ControlStatusQuery(me, state, controllers, here)())


def test_the_head_alone_is_asked_where_it_leads() -> None:
    head = status_of("a", leads=True)
    controllers = Controllers(head, status_of("b"), status_of("c"))
    assert ask(controllers) == head
    assert controllers.asked == ["a:7780"]


def test_without_the_head_the_newest_epoch_counts() -> None:
    newer = status_of("c", epoch=4)
    assert ask(Controllers(status_of("b"), newer)) == newer


def test_a_head_that_hears_no_majority_still_tells_what_it_knows() -> None:
    alone = status_of("a")
    assert ask(Controllers(alone)) == alone
    assert ask(Controllers(alone), me="a") == alone


def test_nobody_answers() -> None:
    assert ask(Controllers()) is None
