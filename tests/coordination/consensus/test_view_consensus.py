"""View consensus over a network: votes are on disk before they are sent, across power losses and disk faults.

A vote that is sent before it is durable can be lost in a power loss, and then two views may be decided.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import attrs

from hollowusher.coordination.consensus.paxos import Acceptor, first_view
from hollowusher.coordination.consensus.view_consensus import ViewConsensus
from hollowusher.protocol.codec import decode, encode
from hollowusher.protocol.consensus import (
    Accept,
    Accepted,
    ConfirmEpoch,
    Prepare,
    Promise,
    ViewDecided,
)
from hollowusher.protocol.view import View, Voter
from hollowusher.storage.interface import StorageError
from hollowusher.transport.interface import Handler, PeerError
from tests.support.controller_cluster import run_virtual

CLUSTER = "cluster-1"
VOTERS = [Voter(name, f"disk-{name}", f"{name}:1") for name in "abc"]
BASE = first_view(VOTERS, CLUSTER)


def next_view(chain: str) -> View:
    return View(2, VOTERS, list(chain), dict.fromkeys(chain, 1), CLUSTER)


X = next_view("abc"[:2])
Y = next_view("ac")


class Disk:
    """A slot whose saves block while `stuck` is set and fail while `full` is set."""

    def __init__(self) -> None:
        self.value: bytes | None = None
        self.stuck = False
        self.full = False
        self.saves = 0

    def load(self) -> bytes | None:
        return self.value

    async def save(self, value: bytes) -> None:
        await asyncio.sleep(0.005)
        while self.stuck:
            await asyncio.sleep(0.005)
        if self.full:
            raise StorageError("save", "view", "no space left")
        self.value = value
        self.saves += 1


@attrs.define
class VirtualNetwork:
    """The network between the voters.

    It holds back the requests that `should_hold` selects until `release` is called.  It drops the responses
    that `should_drop` selects.
    """

    voters: dict[str, Node] = attrs.Factory(dict)
    sent: list[tuple[str, str, Any]] = attrs.Factory(list)  # sender, address, message
    held: list[tuple[str, Any]] = attrs.Factory(list)
    should_hold: Callable[[str, Any], bool] = lambda address, message: False
    should_drop: Callable[[str, Any], bool] = lambda address, answer: False

    async def deliver(self, address: str, message: Any) -> Any:
        voter = self.voters[address]
        if voter.voter_consensus is None:
            raise PeerError("call", address, "no connection: refused", sent=False)
        pending = asyncio.get_running_loop().create_task(voter.handle(decode(encode(message))))
        voter.tasks.add(pending)
        return await pending

    async def release(self) -> None:
        """Deliver all requests held back; their callers have timed out already."""
        held, self.held = self.held, []
        for address, message in held:
            await self.deliver(address, message)

    def requests(self, sender: str, kind: type) -> list[Any]:
        return [message for name, _, message in self.sent if name == sender and isinstance(message, kind)]


class Endpoint:
    """The `Transport` of one voter."""

    def __init__(self, network: VirtualNetwork, name: str) -> None:
        self.network = network
        self.name = name
        self.address = f"{name}:1"

    async def start(self, handler: Handler) -> None:
        raise NotImplementedError

    async def close(self) -> None:
        raise NotImplementedError

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        self.network.sent.append((self.name, address, message))
        if self.network.should_hold(address, message):
            self.network.held.append((address, message))
            await asyncio.sleep(timeout)
            raise PeerError("call", address, "no answer in time")
        try:
            async with asyncio.timeout(timeout):
                answer = await self.network.deliver(address, message)
        except (TimeoutError, StorageError):
            raise PeerError("call", address, "no answer in time") from None
        if self.network.should_drop(address, answer):
            await asyncio.sleep(timeout)
            raise PeerError("call", address, "no answer in time")
        return answer

    def send(self, address: str, message: Any) -> None:
        self.network.sent.append((self.name, address, message))
        if not self.network.should_hold(address, message):
            task = asyncio.get_running_loop().create_task(self.network.deliver(address, message))
            self.network.voters[address].tasks.add(task)


class Node:
    """One voter with its disk, which can lose power and restart."""

    def __init__(self, network: VirtualNetwork, voter: Voter) -> None:
        self.network = network
        self.voter = voter
        self.disk = Disk()
        self.views: list[View] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.voter_consensus: ViewConsensus | None = None
        network.voters[voter.address] = self
        acceptor = Acceptor(voter.name, voter.disk_id)
        acceptor.learn(BASE)
        self.disk.value = acceptor.dump()

    @property
    def running(self) -> ViewConsensus:
        assert self.voter_consensus is not None
        return self.voter_consensus

    def start(self) -> None:
        self.voter_consensus = ViewConsensus(self.voter, Endpoint(self.network, self.voter.name), self.disk,
                                   random.Random(self.voter.name), self.views.append)  # fmt: skip

    def lose_power(self) -> None:
        for task in self.running._tasks | self.tasks:
            task.cancel()
        self.tasks.clear()
        self.voter_consensus = None

    async def handle(self, message: Any) -> Any:
        voter_consensus = self.running
        if isinstance(message, Prepare):
            return await voter_consensus.prepare(message)
        if isinstance(message, Accept):
            return await voter_consensus.accept(message)
        if isinstance(message, ConfirmEpoch):
            return voter_consensus.confirm(message)
        if isinstance(message, ViewDecided):
            await voter_consensus.learn(message.view)
        return None


def group() -> tuple[VirtualNetwork, dict[str, Node]]:
    network = VirtualNetwork()
    nodes = {voter.name: Node(network, voter) for voter in VOTERS}
    for node in nodes.values():
        node.start()
    return network, nodes


async def propose(node: Node, view: View) -> bool:
    return await node.running.propose(lambda base: view if base.epoch + 1 == view.epoch else None)


def test_nothing_is_sent_before_the_own_promise_is_on_disk() -> None:
    async def check() -> None:
        network, nodes = group()
        nodes["a"].disk.stuck = True
        pending = asyncio.create_task(propose(nodes["a"], X))
        await asyncio.sleep(2.0)
        assert network.requests("a", Prepare) == []
        nodes["a"].disk.stuck = False
        await pending
        assert await propose(nodes["a"], X)
        assert nodes["b"].running.view == X or nodes["c"].running.view == X

    run_virtual(check())


def test_a_ballot_is_not_used_again_after_a_loss_of_power() -> None:
    async def check() -> None:
        network, nodes = group()
        nodes["a"].disk.stuck = True
        network.should_hold = lambda address, message: isinstance(message, Accept) and address == "c:1"
        network.should_drop = lambda address, answer: isinstance(answer, Accepted)
        first = asyncio.create_task(propose(nodes["a"], X))
        await asyncio.sleep(0.1)  # if Prepare was sent, b has accepted X and its response is lost
        nodes["a"].lose_power()
        first.cancel()
        used = {tuple(message.ballot) for message in network.requests("a", Prepare)}

        nodes["a"].disk.stuck = False
        nodes["a"].start()
        network.should_drop = lambda address, answer: False
        network.should_hold = lambda address, message: address == "b:1"
        assert await propose(nodes["a"], Y)  # decided by a and c
        again = {tuple(message.ballot) for message in network.requests("a", Prepare)[len(used) * 2 :]}
        assert not used & again
        assert nodes["a"].running.view == Y

    run_virtual(check())


def test_a_late_accept_of_a_lost_proposal_does_not_decide_a_second_view() -> None:
    async def check() -> None:
        network, nodes = group()
        nodes["a"].disk.stuck = True
        network.should_hold = lambda address, message: isinstance(message, Accept) and address == "c:1"
        network.should_drop = lambda address, answer: isinstance(answer, Accepted)
        first = asyncio.create_task(propose(nodes["a"], X))
        await asyncio.sleep(0.1)
        nodes["a"].lose_power()
        first.cancel()
        late = list(network.held)

        nodes["a"].disk.stuck = False
        nodes["a"].start()
        network.held = []
        network.should_drop = lambda address, answer: False
        network.should_hold = lambda address, message: address == "b:1" or isinstance(message, ViewDecided)
        assert await propose(nodes["a"], Y)

        network.held = late
        network.should_hold = lambda address, message: address == "a:1"  # a is partitioned; b and c continue
        await network.release()
        for _ in range(5):
            await propose(nodes["b"], next_view("bc"))
            await propose(nodes["c"], next_view("bc"))
        assert [node.running.view for node in nodes.values()] == [Y, Y, Y]

    run_virtual(check())


def test_a_proposal_is_not_sent_if_the_own_promise_cannot_be_saved() -> None:
    async def check() -> None:
        network, nodes = group()
        nodes["a"].disk.full = True
        assert not await propose(nodes["a"], X)
        assert network.requests("a", Prepare) == []
        nodes["a"].disk.full = False
        assert await propose(nodes["a"], X)

    run_virtual(check())


def test_a_vote_on_a_first_view_is_on_disk_before_the_response() -> None:
    async def check() -> None:
        network = VirtualNetwork()
        node = Node(network, VOTERS[0])
        node.disk.value = None
        node.start()
        node.disk.full = True
        for _ in range(3):  # from the second round on the view is in memory already
            for message in (Prepare(1, [1, "p"], None), Accept(1, [1, "p"], BASE)):
                try:
                    answer = await node.handle(message)
                except StorageError:
                    continue
                raise AssertionError(f"response sent before the vote was on disk: {answer}")
        node.disk.full = False
        assert (await node.handle(Accept(1, [1, "p"], BASE))).granted
        node.lose_power()
        node.start()
        promise = await node.handle(Prepare(1, [2, "q"], None))
        assert (promise.granted, promise.accepted_ballot, promise.accepted) == (True, [1, "p"], BASE)
        other = first_view(VOTERS[:2], "cluster-2")
        assert not (await node.handle(Accept(1, [1, "r"], other))).granted  # its ballot is below the promise

    run_virtual(check())


def test_a_vote_that_cannot_be_saved_gets_no_response() -> None:
    async def check() -> None:
        _, nodes = group()
        disk = nodes["b"].disk
        disk.full = True
        for message in (Prepare(2, [1, "a"], BASE), Accept(2, [1, "a"], X)):
            try:
                answer = await nodes["b"].handle(message)
            except StorageError:
                continue
            raise AssertionError(f"response sent although the save failed: {answer}")
        # The voter may have accepted a later view, so it must not confirm this one.
        assert not nodes["b"].running.confirm(ConfirmEpoch(1)).ok
        disk.full = False
        promise_answer = await nodes["b"].handle(Prepare(2, [2, "c"], BASE))
        assert isinstance(promise_answer, Promise)
        assert promise_answer.granted
        assert promise_answer.accepted == X
        nodes["b"].lose_power()
        nodes["b"].start()
        assert nodes["b"].running.acceptor.promised == (2, "c")
        assert nodes["b"].running.acceptor.accepted == X

    run_virtual(check())


def test_a_decided_view_is_installed_although_the_disk_is_full() -> None:
    async def check() -> None:
        _, nodes = group()
        nodes["b"].disk.full = True
        assert await nodes["b"].running.learn(X)
        assert nodes["b"].views == [X]
        nodes["b"].lose_power()
        nodes["b"].start()
        assert nodes["b"].running.view == BASE  # the view can be learned again
        nodes["b"].disk.full = False
        assert await nodes["b"].running.learn(X)

    run_virtual(check())
