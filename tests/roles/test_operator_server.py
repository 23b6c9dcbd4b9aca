"""An operator's order that is passed on is sent once, whatever becomes of it."""

from __future__ import annotations

from typing import Any

import pytest

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.identity import Identity
from hollowusher.protocol.operator_orders import (
    ChangeConfiguration,
    OperatorResponse,
    ReadConfiguration,
    RetireStore,
)
from hollowusher.protocol.view import View, Voter
from hollowusher.roles.operator_server import OperatorForwarder
from hollowusher.transport.interface import Handler, PeerError, WrongPeer
from tests.support.controller_cluster import ControllerCluster, run_virtual

HEAD, TAIL = "10.0.0.1:7780", "10.0.0.2:7780"
ORDER = ChangeConfiguration("PUT", 3, b"{}")
FAILURES = [
    PeerError("call", HEAD, "no answer in 2.8 s"),
    PeerError("call", HEAD, "connection lost"),
    PeerError("call", HEAD, "no connection", sent=False),
    WrongPeer("call", HEAD, Identity("c", "other", 1)),
]


class FailingTransport:
    """A transport whose every call fails in one way."""

    def __init__(self, failure: PeerError) -> None:
        self.address = "10.0.0.9:7780"
        self.failure = failure
        self.calls: list[tuple[str, Any]] = []

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        self.calls.append((address, message))
        raise self.failure

    def send(self, address: str, message: Any) -> None:
        raise AssertionError("nothing is sent without an answer")

    async def start(self, handler: Handler) -> None:
        raise AssertionError("not to be started here")

    async def close(self) -> None:
        raise AssertionError("not to be closed here")


@pytest.mark.parametrize("failure", FAILURES, ids=["silence", "reset", "nobody there", "another process"])
@pytest.mark.parametrize("order", [ORDER, RetireStore("store-1", 10.0)], ids=["configuration", "retire"])
def test_an_order_goes_to_the_head_once(order: Any, failure: PeerError) -> None:
    state = ClusterState()
    view = View(1, [Voter("a", "da", HEAD), Voter("b", "db", TAIL)], ["a", "b"])
    state.apply([DistributedItem("view", [1], "a/1", 1, view)], {})
    transport = FailingTransport(failure)

    async def handle(message: Any) -> Any:
        raise AssertionError("not decided here")

    forward = OperatorForwarder("edge-1", state, transport, handle)
    with pytest.raises(PeerError):
        run_virtual(forward(order))
    assert transport.calls == [(HEAD, order)]


def test_an_order_whose_head_falls_silent_reaches_no_second_controller() -> None:
    """The head has taken the order, its answer is lost: the controller that passed it on says 503, once."""

    async def scene() -> None:
        cluster = ControllerCluster()
        await cluster.bootstrap_all()
        head = next(node for node in cluster.nodes.values() if node.running.is_head)
        other = next(node for node in cluster.nodes.values() if not node.running.is_head)
        taken: dict[str, int] = dict.fromkeys(cluster.nodes, 0)
        for name, node in cluster.nodes.items():
            assert node.transport is not None
            handler = node.running.handle

            async def counting(message: Any, name: str = name, handler: Handler = handler) -> Any:
                if isinstance(message, ChangeConfiguration):
                    taken[name] += 1
                    answer = await handler(message)
                    cluster.isolate(head.name)  # before its answer leaves
                    return answer
                return await handler(message)

            await node.transport.start(counting)
        assert await other.put(1, 0) == 503
        assert taken == {name: int(name == head.name) for name in cluster.nodes}
        cluster.join_all()
        await cluster.put_at_any_node(1, 0)  # unchanged, it is acknowledged: it has been taken, or is now
        answer = await other.running.handle(ReadConfiguration())
        assert isinstance(answer, OperatorResponse) and answer.status == 200

    run_virtual(scene())
