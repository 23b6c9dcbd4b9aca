"""A spare controller at the address of a lost voter: it has to be reached to take the voter's place."""

from __future__ import annotations

from hollowusher.protocol.consensus import Ping
from hollowusher.protocol.identity import Identity
from hollowusher.protocol.membership import Member
from hollowusher.protocol.view import View, Voter
from hollowusher.transport.peers import PeerDirectory

ADDRESS = "10.0.0.1:7780"


def caller() -> PeerDirectory:
    peers = PeerDirectory()
    peers.identify(Identity("c", "edge-2", 1, "d2"))
    peers.learn_view(View(4, [Voter("edge-1", "d1", ADDRESS)], ["edge-1"], {}, "c"))
    return peers


def controller(name: str, incarnation: int, status: int = 0) -> Member:
    return Member(name, "edge", ADDRESS, "z", "r", incarnation, f"disk of {name}", True, True, status=status)


def test_a_ping_at_a_used_address_means_the_process_that_lives_there() -> None:
    peers = caller()
    peers.learn_member(controller("edge-7", 5))
    assert peers.meant(ADDRESS, Ping("edge-2", 4)).name == "edge-7"


def test_a_voter_is_meant_where_the_other_process_is_gone() -> None:
    peers = caller()
    peers.learn_member(controller("edge-7", 5, status=1))
    assert peers.meant(ADDRESS, Ping("edge-2", 4)).name == "edge-1"


def test_a_wiped_voter_is_still_called_by_the_disk_that_votes() -> None:
    peers = caller()
    peers.learn_member(controller("edge-1", 5))
    assert peers.meant(ADDRESS, Ping("edge-2", 4)).disk_id == "d1"
