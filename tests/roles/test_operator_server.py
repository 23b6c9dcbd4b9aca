"""A process forwards an operator's order exactly once, even if the call fails."""

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
    """A transport on which every call fails with the same error."""

    def __init__(self, failure: PeerError) -> None:
        self.address = "10.0.0.9:7780"
        self.failure = failure
        self.calls: list[tuple[str, Any]] = []

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        self.calls.append((address, message))
        raise self.failure

    def send(self, address: str, message: Any) -> None:
        raise AssertionError("an order must use call, not send")

    async def start(self, handler: Handler) -> None:
        raise AssertionError("the forwarder must not start the transport")

    async def close(self) -> None:
        raise AssertionError("the forwarder must not close the transport")


@pytest.mark.parametrize("failure", FAILURES, ids=["silence", "reset", "nobody there", "another process"])
@pytest.mark.parametrize("order", [ORDER, RetireStore("store-1", 10.0)], ids=["configuration", "retire"])
def test_an_order_goes_to_the_head_once(order: Any, failure: PeerError) -> None:
    state = ClusterState()
    view = View(1, [Voter("a", "da", HEAD), Voter("b", "db", TAIL)], ["a", "b"])
    state.apply([DistributedItem("view", [1], "a/1", 1, view)], {})
    transport = FailingTransport(failure)

    async def handle(message: Any) -> Any:
        raise AssertionError("this process is not the head and must not handle the order")

    forward = OperatorForwarder("edge-1", state, transport, handle)
    with pytest.raises(PeerError):
        run_virtual(forward(order))
    assert transport.calls == [(HEAD, order)]


def test_an_order_is_not_sent_to_a_second_controller_if_the_head_stops_responding() -> None:
    """If the head's response is lost, the forwarding controller returns 503 and does not send it again."""

    async def scenario() -> None:
        cluster = ControllerCluster()
        await cluster.bootstrap_all()
        head = next(node for node in cluster.nodes.values() if node.running.is_head)
        other = next(node for node in cluster.nodes.values() if not node.running.is_head)
        handled: dict[str, int] = dict.fromkeys(cluster.nodes, 0)
        for name, node in cluster.nodes.items():
            assert node.transport is not None
            handler = node.running.handle

            async def counting(message: Any, name: str = name, handler: Handler = handler) -> Any:
                if isinstance(message, ChangeConfiguration):
                    handled[name] += 1
                    answer = await handler(message)
                    cluster.isolate(head.name)  # before the head sends its response
                    return answer
                return await handler(message)

            await node.transport.start(counting)
        assert await other.put(1, 0) == 503
        assert handled == {name: int(name == head.name) for name in cluster.nodes}
        cluster.join_all()
        # The retried order is acknowledged, whether or not it was already applied.
        await cluster.put_at_any_node(1, 0)
        answer = await other.running.handle(ReadConfiguration())
        assert isinstance(answer, OperatorResponse) and answer.status == 200

    run_virtual(scenario())
