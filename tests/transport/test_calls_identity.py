"""A process at a reused address rejects messages intended for another process and returns its identity."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.distribution.peer_identities import track_peer_identities
from hollowusher.protocol.acknowledgement import Acknowledgement
from hollowusher.protocol.codec import MAX_TAG, encode, evolve, tag_of
from hollowusher.protocol.consensus import ConfirmEpoch, Ping
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.identity import Hello, Identity
from hollowusher.protocol.membership import Member, RegisterMember
from hollowusher.protocol.messages import MessageStatusRequest, PutRequest
from hollowusher.protocol.view import ReadView, View, Voter
from hollowusher.simulation.event_loop import SimulatedProcess, VirtualTimeLoop
from hollowusher.simulation.network import SimulatedNetwork
from hollowusher.transport.interface import Handler, PeerError, WrongPeer
from hollowusher.transport.peers import PeerDirectory
from hollowusher.transport.tcp import ANSWER, LENGTH, TcpTransport
from tests.support.calls import message, store_member
from tests.support.standins import free_port

TEST_TIMEOUT_S = 20.0  # only a hanging test reaches this timeout
OWN = Identity("c1", "store-2", 7, "d2")
PUT = PutRequest(0, message("m1"))


def directory_of(own: Identity) -> PeerDirectory:
    directory = PeerDirectory()
    directory.identify(own)
    return directory


def hello_to(**meant: Any) -> Hello:
    """Return a `Hello` to store-2 with the given fields of `meant` replaced."""
    return Hello(Identity("c1", "edge-1", 1), evolve(Identity("c1", "store-2", 7), **meant))


@pytest.mark.parametrize(
    ("meant", "received", "reason"),
    [
        ({}, PUT, ""),
        ({"name": "store-1"}, PUT, "another process"),
        ({"cluster": "c2"}, PUT, "another cluster"),
        ({"cluster": ""}, PUT, ""),
        ({"disk_id": "d1"}, PUT, "another disk"),
        ({"disk_id": "d1"}, ConfirmEpoch(3), "another disk"),
        ({"disk_id": "d1"}, Ping("x", 1), ""),
        ({"disk_id": "d2"}, PUT, ""),
        ({"name": ""}, PUT, ""),
        ({"name": "store-1"}, ReadView(), ""),
        ({"cluster": "c2"}, ReadView(), "another cluster"),
    ],
)
def test_a_message_for_another_cluster_process_or_disk_is_rejected(
    meant: dict[str, Any], received: Any, reason: str
) -> None:
    assert directory_of(OWN).rejection_reason(hello_to(**meant), received) == reason


def test_a_rejected_pair_is_reported_once_and_counted_each_time() -> None:
    directory = directory_of(OWN)
    reported: list[tuple[str, str, str]] = []
    directory.on_refused = lambda caller, meant, reason: reported.append((caller.name, meant.name, reason))
    for _ in range(3):
        directory.record_rejection(hello_to(name="store-1"), "another process")
    assert reported == [("edge-1", "store-1", "another process")]
    assert directory.figures.refused == 3


def test_the_later_registration_of_a_living_member_takes_precedence() -> None:
    directory = directory_of(OWN)
    first = store_member("store-1", "10.0.0.1:7780", 5)
    directory.learn_member(first)
    directory.learn_member(store_member("store-9", "10.0.0.1:7780", 9))
    directory.learn_member(store_member("store-1", "10.0.0.1:7780", 5, status=1))
    assert directory.name_of("10.0.0.1:7780") == "store-9"
    directory.learn_member(store_member("store-9", "10.0.0.4:7780", 10))
    assert directory.name_of("10.0.0.4:7780") == "store-9"
    assert directory.name_of("10.0.0.1:7780") == ""


def test_a_vote_is_intended_for_the_disk_of_the_voter_and_a_put_for_that_of_the_member() -> None:
    directory = directory_of(OWN)
    address = "10.0.0.1:7780"
    directory.learn_member(Member("a", "edge", address, "z", "r", 8, "new-disk"))
    directory.learn_view(View(3, [Voter("a", "old-disk", address)], ["a"], cluster="c1"))
    assert directory.intended_peer(address, ConfirmEpoch(3)).disk_id == "old-disk"
    assert directory.intended_peer(address, PUT) == Identity("c1", "a", 8, "new-disk")


def test_the_directory_follows_the_distributed_values() -> None:
    state, directory = ClusterState(), PeerDirectory()
    track_peer_identities(directory, Member("edge-1", "edge", "10.0.0.9:7780", "z", "r", 4, "d9"), state)
    member = store_member("store-1", "10.0.0.1:7780", 5)
    view = View(1, [Voter("a", "da", "10.0.0.3:7780")], ["a"], cluster="c1")
    state.apply(
        [
            DistributedItem("member/store-1", [5, 0], "a/1", 1, member),
            DistributedItem("view", [1], "a/1", 2, view),
        ],
        {},
    )
    assert directory.own == Identity("c1", "edge-1", 4, "d9")
    assert directory.intended_peer(member.address, PUT) == Identity("c1", "store-1", 5, "d")
    assert directory.name_of("10.0.0.3:7780") == "a"


class Pair:
    """A client whose directory has `store-1` at the server's address, and the server with the name `own`."""

    def __init__(self, own: str) -> None:
        self.server = TcpTransport(f"127.0.0.1:{free_port()}")
        self.client = TcpTransport(f"127.0.0.1:{free_port()}")
        self.server.peers.identify(Identity("c1", own, 1, "d"))
        self.client.peers.identify(Identity("c1", "edge-1", 1))
        self.expect_server("store-1", 1)

    def expect_server(self, name: str, incarnation: int) -> None:
        self.client.peers.learn_member(store_member(name, self.server.address, incarnation))

    async def call(self, request: Any, timeout: float = TEST_TIMEOUT_S) -> Any:
        return await self.client.call(self.server.address, request, timeout)


def run_scenario(own: str, handler: Handler, scenario: Callable[[Pair], Awaitable[None]]) -> None:
    """Run a scenario with two processes over sockets, then close both."""

    async def run() -> None:
        pair = Pair(own)
        await pair.server.start(handler)
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await scenario(pair)
        finally:
            await pair.client.close()
            await pair.server.close()

    asyncio.run(run())


async def echo(request: Any) -> Any:
    return request


def test_a_process_at_a_reused_address_rejects_calls_for_its_predecessor() -> None:
    taken: list[Any] = []

    async def handler(request: Any) -> Any:
        taken.append(request)
        return request

    async def scenario(pair: Pair) -> None:
        with pytest.raises(WrongPeer) as caught:
            await pair.call(PUT)
        assert (caught.value.sent, caught.value.found.name, caught.value.step) == (
            False,
            "store-9",
            "PutRequest",
        )
        assert not pair.client.connected(pair.server.address)
        assert taken == []
        assert pair.server.peers.figures.refused == 1
        assert pair.client.peers.figures.misdirected == 1
        pair.expect_server("store-9", 2)  # the directory now has the correct name
        assert await pair.call(PUT) == PUT

    run_scenario("store-9", handler, scenario)


def test_a_one_way_message_for_another_process_is_dropped_and_closes_the_connection() -> None:
    taken: list[Any] = []

    async def handler(request: Any) -> None:
        taken.append(request)

    async def scenario(pair: Pair) -> None:
        pair.client.send(pair.server.address, MessageStatusRequest("0-1-1"))
        while pair.client.peers.figures.misdirected == 0:
            await asyncio.sleep(0)
        assert not pair.client.connected(pair.server.address)
        assert taken == []

    run_scenario("store-9", handler, scenario)


def test_a_name_learnt_later_is_sent_on_the_open_connection() -> None:
    async def scenario(pair: Pair) -> None:
        assert await pair.call(PUT) == PUT
        (connection,) = pair.server.accepted
        pair.expect_server("store-1", 2)  # the same process with a later incarnation is accepted
        assert await pair.call(PUT) == PUT
        assert pair.server.accepted == {connection}
        pair.client.peers.learn_member(store_member("store-7", pair.server.address, 3))
        with pytest.raises(WrongPeer):
            await pair.call(PUT)

    run_scenario("store-1", echo, scenario)


def test_calls_accepted_before_a_rejection_on_their_connection_are_answered() -> None:
    async def handler(request: Any) -> Any:
        if isinstance(request, RegisterMember):
            await release.wait()
        return Acknowledgement()

    async def scenario(pair: Pair) -> None:
        slow = asyncio.ensure_future(pair.call(RegisterMember(store_member("x", "10.0.0.5:7780", 1))))
        await asyncio.sleep(0.01)
        pair.expect_server("store-7", 3)
        with pytest.raises(WrongPeer):
            await pair.call(PUT)
        release.set()
        assert await slow == Acknowledgement()

    release = asyncio.Event()
    run_scenario("store-1", handler, scenario)


def frame(number: int, kind: int, content: Any) -> bytes:
    data = encode([number, kind, content])
    return LENGTH.pack(len(data)) + data


def test_responses_without_a_pending_call_are_dropped_and_counted() -> None:
    """The peer sends a response with an earlier call number, one of another type, and one twice."""

    async def scenario() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(1 << 16)
            number = (MAX_TAG + 1) + tag_of(PUT)  # number of the first call, a `PutRequest`
            other = (MAX_TAG + 1) + tag_of(MessageStatusRequest(""))
            writer.write(frame(number - (MAX_TAG + 1), ANSWER, "before") + frame(other, ANSWER, "other kind"))
            writer.write(frame(number, ANSWER, "right") + frame(number, ANSWER, "again"))
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        client = TcpTransport(f"127.0.0.1:{free_port()}")
        assert await client.call(f"{host}:{port}", PUT, TEST_TIMEOUT_S) == "right"
        while client.peers.figures.answers_dropped < 3:
            await asyncio.sleep(0)
        await client.close()
        server.close()

    async def limited() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await scenario()

    asyncio.run(limited())


def test_a_response_after_the_timeout_resolves_no_other_call() -> None:
    async def handler(request: Any) -> Any:
        if isinstance(request, MessageStatusRequest):
            await release.wait()
        return request

    async def scenario(pair: Pair) -> None:
        late = asyncio.ensure_future(pair.call(MessageStatusRequest("0-1-1"), 0.05))
        await asyncio.sleep(0.01)
        assert await pair.call(PUT) == PUT  # a received byte keeps the connection open
        with pytest.raises(PeerError):
            await late
        release.set()
        assert await pair.call(PUT) == PUT
        while pair.client.peers.figures.answers_dropped == 0:
            await asyncio.sleep(0)

    release = asyncio.Event()
    run_scenario("store-1", handler, scenario)


def test_the_simulated_network_rejects_like_the_real_one() -> None:
    loop = VirtualTimeLoop()

    async def scenario() -> None:
        network = SimulatedNetwork(loop, random.Random(3))
        for host in ("10.0.0.1", "10.0.0.2"):
            network.power_on(host)
        client = network.transport(SimulatedProcess("edge-1"), "10.0.0.1:7780")
        server = network.transport(SimulatedProcess("store-9"), "10.0.0.2:7780")
        client.peers.identify(Identity("c1", "edge-1", 1))
        client.peers.learn_member(store_member("store-1", server.address, 1))
        server.peers.identify(Identity("c1", "store-9", 1, "d"))
        taken: list[Any] = []

        async def handler(request: Any) -> Any:
            taken.append(request)
            return request

        await server.start(handler)
        with pytest.raises(WrongPeer):
            await client.call(server.address, PUT, 1.0)
        assert taken == [] and not client.connected(server.address)
        assert await client.call(server.address, ReadView(), 1.0) == ReadView()
        client.peers.learn_member(store_member("store-9", server.address, 2))
        assert await client.call(server.address, PUT, 1.0) == PUT

    loop.run_until_complete(scenario())
