"""A spare controller at the address of a lost voter can be called, so that it can replace the voter.

The view still maps the address to the lost voter.  If a call named that voter as its addressee, the spare
would reject the call.
"""

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


def test_a_ping_to_a_reused_address_names_the_current_process() -> None:
    peers = caller()
    peers.learn_member(controller("edge-7", 5))
    assert peers.intended_peer(ADDRESS, Ping("edge-2", 4)).name == "edge-7"


def test_a_ping_names_the_voter_if_the_other_process_is_dead() -> None:
    peers = caller()
    peers.learn_member(controller("edge-7", 5, status=1))
    assert peers.intended_peer(ADDRESS, Ping("edge-2", 4)).name == "edge-1"


def test_a_ping_to_a_wiped_voter_names_the_disk_with_the_vote() -> None:
    peers = caller()
    peers.learn_member(controller("edge-1", 5))
    assert peers.intended_peer(ADDRESS, Ping("edge-2", 4)).disk_id == "d1"
