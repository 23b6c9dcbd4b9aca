"""Control chain and its view changes: single cases, and random runs checked against the set of commits."""

from __future__ import annotations

import random

import attrs
import pytest

from hollowusher.coordination.chain.chain_member import EMPTY_STATE, ChainMember, encode_write
from hollowusher.coordination.consensus.liveness_snapshot import LivenessSnapshot, take_liveness_snapshot
from hollowusher.coordination.consensus.paxos import first_view, min_chain_length, quorum_size
from hollowusher.coordination.consensus.reconfiguration import (
    has_lost_chain_member,
    plan_chain,
    plan_voters,
    proposal_rank,
)
from hollowusher.coordination.consensus.voter_health import VoterHealth
from hollowusher.coordination.consensus.voter_set import VoterSetChange, plan_voter_set_change
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.consensus import Pong
from hollowusher.protocol.control_chain import ChainWrite, ControlState
from hollowusher.protocol.view import View, Voter


def voters(names: str) -> list[Voter]:
    return [Voter(name, f"disk-{name}", f"10.0.0.{ord(name)}:1") for name in names]


def chain_of(names: str) -> tuple[View, dict[str, ChainMember]]:
    view = first_view(voters(names))
    members = {name: ChainMember(name, f"disk-{name}") for name in names}
    for member in members.values():
        member.install(view)
    return view, members


def written(state: ControlState, word: str) -> ControlState:
    return evolve(state, history=[*state.history, [1, word]])


def words(state: ControlState) -> set[str]:
    return {word for _, word in state.history}


def connected_snapshot(view: View, alive: str) -> LivenessSnapshot:
    """Return a snapshot in which these voters reach each other and the chain members are complete."""
    names = frozenset(alive)
    return LivenessSnapshot(names, names & frozenset(view.chain), dict.fromkeys(alive, names))


# -- the members -------------------------------------------------------------------------------------------


def test_head_and_tail_follow_from_the_view() -> None:
    _, members = chain_of("abc")
    assert [members[name].is_head for name in "abc"] == [True, False, False]
    assert [members[name].is_tail for name in "abc"] == [False, False, True]
    assert [members[name].successor() for name in "abc"] == ["b", "c", None]


def test_a_state_goes_down_the_chain_and_is_committed_at_the_tail() -> None:
    _, members = chain_of("abc")
    write = members["a"].make_write(written(members["a"].state, "x"))
    members["a"].record_saved(write)
    for name in "bc":
        assert members[name].accepts(write)
        members[name].record_saved(write)
    assert not members["c"].is_readable
    assert members["c"].commit(write) is write.state
    assert members["c"].is_readable
    assert members["a"].commit(write) is write.state
    assert members["a"].is_committed
    assert members["a"].commit(write) is None  # the commit is known already
    assert members["b"].committed is None


def test_writes_of_other_epochs_and_older_writes_are_rejected() -> None:
    view, members = chain_of("abc")
    tail = members["c"]
    tail.record_saved(ChainWrite(1, evolve(EMPTY_STATE, sequence=5)))
    assert not tail.accepts(ChainWrite(1, evolve(EMPTY_STATE, sequence=4)))
    assert tail.accepts(ChainWrite(1, evolve(EMPTY_STATE, sequence=5)))
    assert not tail.accepts(ChainWrite(2, evolve(EMPTY_STATE, sequence=9)))
    tail.install(View(2, view.voters, ["b", "c"], {"b": 1, "c": 1}))
    assert not tail.accepts(ChainWrite(1, evolve(EMPTY_STATE, sequence=9)))
    assert tail.accepts(ChainWrite(2, evolve(EMPTY_STATE, sequence=4)))  # a later epoch counts as newer
    assert not members["a"].accepts(ChainWrite(1, evolve(EMPTY_STATE, sequence=9)))  # as the head


def test_a_later_epoch_replaces_uncommitted_states() -> None:
    view, members = chain_of("abc")
    members["a"].record_saved(members["a"].make_write(written(EMPTY_STATE, "lost")))
    second = View(2, view.voters, ["b", "c"], {"b": 1, "c": 1})
    third = View(3, view.voters, ["b", "c", "a"], {"b": 1, "c": 1, "a": 3})
    members["b"].install(second)
    write = members["b"].make_write()
    members["b"].record_saved(write)
    members["b"].install(third)
    members["a"].install(third)
    write = members["b"].make_write()
    assert write.state.sequence < members["a"].state.sequence
    assert members["a"].accepts(write)
    members["a"].record_saved(write)
    assert members["a"].state.history == []


def test_a_member_that_joined_is_complete_after_its_first_state() -> None:
    view, members = chain_of("abc")
    joined = View(3, view.voters, ["a", "b", "c"], {"a": 1, "b": 1, "c": 3})
    for member in members.values():
        member.install(joined)
    assert members["b"].complete
    assert not members["c"].complete
    members["c"].record_saved(ChainWrite(3, evolve(EMPTY_STATE, sequence=1)))
    assert members["c"].complete
    members["c"].install(View(4, view.voters, ["c", "b"], {"b": 1, "c": 3}))
    assert members["c"].complete
    members["c"].install(View(9, view.voters, ["b", "c"], {"b": 1, "c": 8}))
    assert not members["c"].complete  # it was outside the chain in the meantime


def test_a_head_that_may_lack_commits_writes_nothing() -> None:
    view, members = chain_of("abc")
    members["c"].install(View(3, view.voters, ["c", "a"], {"a": 1, "c": 3}))
    with pytest.raises(ValueError, match="not a head"):
        members["c"].make_write()
    with pytest.raises(ValueError, match="not a head"):
        members["b"].make_write()


def test_a_controller_with_another_disk_is_no_member() -> None:
    view, _ = chain_of("abc")
    wiped = ChainMember("a", "another-disk")
    wiped.install(view)
    assert not wiped.in_chain
    assert not wiped.is_head
    assert not wiped.complete


def test_a_member_restores_its_state_after_a_crash() -> None:
    view, _ = chain_of("abc")
    write = ChainWrite(1, evolve(EMPTY_STATE, sequence=5, generation=7, document=b"{}"))
    again = ChainMember("c", "disk-c", encode_write(write))
    assert (again.state_epoch, again.state) == (1, write.state)
    again.install(view)
    assert again.committed == write.state  # a state that the tail has saved is committed
    assert again.is_readable


def test_a_state_of_an_earlier_epoch_must_be_committed_again() -> None:
    view, members = chain_of("ab")
    head = members["a"]
    write = head.make_write()
    head.record_saved(write)
    head.commit(write)
    assert head.is_committed
    head.install(View(2, view.voters, ["a", "b"], {"a": 1, "b": 1}))
    again = head.make_write()
    head.record_saved(again)
    assert not head.is_committed
    head.commit(again)
    assert head.is_committed


def test_a_tail_is_not_readable_before_a_commit_in_its_epoch() -> None:
    view, members = chain_of("abc")
    write = ChainWrite(1, evolve(EMPTY_STATE, sequence=1))
    members["b"].record_saved(write)
    members["b"].commit(write)
    second = View(2, view.voters, ["a", "b"], {"a": 1, "b": 1})
    members["b"].install(second)
    assert not members["b"].is_readable
    later = ChainWrite(2, evolve(EMPTY_STATE, sequence=3))
    members["b"].record_saved(later)
    assert not members["b"].is_readable
    members["b"].commit(later)
    assert members["b"].is_readable
    assert members["b"].committed == later.state


# -- the next view -----------------------------------------------------------------------------------------


def test_the_chain_keeps_its_order_and_new_members_join_at_the_tail() -> None:
    view = View(4, voters("abcde"), ["c", "a", "e"], {"c": 1, "a": 1, "e": 2})
    planned = plan_chain(view, connected_snapshot(view, "abde"))
    assert planned is not None
    assert planned.chain == ["a", "e", "b", "d"]
    assert planned.since == {"a": 1, "e": 2, "b": 5, "d": 5}
    assert planned.epoch == 5


def test_incomplete_members_follow_the_complete_ones() -> None:
    view = View(4, voters("abc"), ["a", "b", "c"], {"a": 4, "b": 1, "c": 1})
    snapshot = attrs.evolve(connected_snapshot(view, "abc"), complete=frozenset("b"))
    planned = plan_chain(view, snapshot)
    assert planned is not None
    assert planned.chain == ["b", "a", "c"]
    no_complete_member = attrs.evolve(snapshot, complete=frozenset())
    assert plan_chain(view, no_complete_member) is None


def test_no_chain_is_planned_below_the_minimum_length_or_without_a_change() -> None:
    view = first_view(voters("abc"))
    assert plan_chain(view, connected_snapshot(view, "abc")) is None
    assert plan_chain(view, connected_snapshot(view, "a")) is None
    planned = plan_chain(view, connected_snapshot(view, "ab"))
    assert planned is not None
    assert planned.chain == ["a", "b"]
    leaving = plan_chain(view, connected_snapshot(view, "abc"), departing="a")
    assert leaving is not None
    assert leaving.chain == ["b", "c"]


def test_a_voter_that_cannot_reach_the_tail_does_not_join() -> None:
    view = View(2, voters("abc"), ["a", "b"], {"a": 1, "b": 1})
    reachable = {"a": frozenset("bc"), "b": frozenset("a"), "c": frozenset("a")}
    assert plan_chain(view, LivenessSnapshot(frozenset("abc"), frozenset("ab"), reachable)) is None


def test_a_new_disk_replaces_the_old_one_and_joins_at_the_tail() -> None:
    view = first_view(voters("abc"))
    planned = plan_voters(view, Voter("b", "new", "10.0.0.98:1"), "b")
    assert planned is not None
    assert planned.chain == ["a", "c", "b"]
    assert planned.since == {"a": 1, "c": 1, "b": 2}
    assert {voter.disk_id for voter in planned.voters} == {"disk-a", "disk-c", "new"}
    assert plan_voters(view, Voter("a", "new", ""), "a") is None  # would remove the head
    assert plan_voters(view, view.voters[1], "b") is None  # unchanged voter


def test_which_spares_become_voters() -> None:
    view = first_view(voters("abc"))
    health = VoterHealth("a", 0.0)
    health.track("abc", 0.0)
    new, wiped = Voter("n", "disk-n", ""), Voter("b", "new", view.voters[1].address)
    pong(health, "b", 10.0)
    pong(health, "c", 10.0)
    # The set has the target size already, so the controller stays a spare.
    assert plan_voter_set_change(view, [view.voters[0], new], health, 3, 10.0) is None
    assert plan_voter_set_change(view, [new], health, 5, 10.0) == VoterSetChange(new)
    assert plan_voter_set_change(view, [wiped], health, 3, 10.0) == VoterSetChange(wiped, "b")
    pong(health, "b", 14.0)
    assert plan_voter_set_change(view, [new], health, 3, 14.0) == VoterSetChange(new, "c")
    assert plan_voter_set_change(view, [], health, 3, 14.0) is None  # there is no spare to replace it
    full = first_view(voters("abcde"))
    assert plan_voter_set_change(full, [new], VoterHealth("a", 14.0), 5, 14.0) is None


# -- voter health ------------------------------------------------------------------------------------------


def pong(health: VoterHealth, name: str, now: float, stalled: bool = False, leaving: bool = False) -> None:
    health.on_pong(Pong(name, f"disk-{name}", 1, True, ["a", "b", "c"], leaving, stalled), now)


def test_a_voter_is_dead_after_no_answer_or_two_refusals() -> None:
    health = VoterHealth("a", 0.0)
    health.track("abc", 0.0)
    assert not health.is_dead("b", 1.1)
    assert not health.is_reachable("b", 1.1)  # it may still be starting
    assert health.is_dead("b", 1.3)
    pong(health, "b", 2.0)
    assert health.is_reachable("b", 3.1)
    assert not health.is_reachable("b", 3.3)
    pong(health, "b", 4.0)
    health.on_refused("b")
    assert health.is_reachable("b", 4.1)
    health.on_refused("b")
    assert health.is_dead("b", 4.2)
    pong(health, "b", 4.4)
    assert health.is_reachable("b", 4.4)
    pong(health, "b", 4.6, stalled=True)
    assert health.is_dead("b", 4.6)


def test_refusals_right_after_the_start_do_not_count() -> None:
    health = VoterHealth("a", 0.0)
    health.track("ab", 0.0)
    health.on_refused("b")
    health.on_refused("b")
    assert not health.is_dead("b", 0.5)
    assert health.is_dead("b", 1.3)


def test_a_member_that_its_neighbour_cannot_reach_is_avoided_for_some_time() -> None:
    health = VoterHealth("a", 0.0)
    health.track("ab", 0.0)
    pong(health, "b", 1.0)
    health.avoid("b", 2.0)
    view = first_view(voters("ab"))
    assert health.is_avoided("b", 1.5)
    assert has_lost_chain_member(view, health, 1.5)
    assert take_liveness_snapshot(health, view, is_complete=True, now_s=1.5).alive == {"a"}
    assert health.is_reachable("b", 1.5)  # it still votes
    pong(health, "b", 2.1)
    assert health.is_reachable("b", 2.1)
    assert not health.is_avoided("b", 2.1)
    assert take_liveness_snapshot(health, view, is_complete=True, now_s=2.1).alive == {"a", "b"}


def test_the_snapshot_excludes_departing_voters_and_ranks_the_others() -> None:
    view = first_view(voters("abc"))
    health = VoterHealth("b", 0.0)
    health.track("abc", 0.0)
    pong(health, "c", 5.0)
    assert health.has_quorum(view, 5.0)
    assert has_lost_chain_member(view, health, 5.0)
    snapshot = take_liveness_snapshot(health, view, is_complete=True, now_s=5.0)
    assert snapshot.alive == {"b", "c"}
    assert snapshot.complete == {"b", "c"}
    assert proposal_rank(view, snapshot, "b") == 0
    assert proposal_rank(view, snapshot, "c") == 1
    pong(health, "a", 5.0, leaving=True)
    assert take_liveness_snapshot(health, view, is_complete=True, now_s=5.0).alive == {"b", "c"}
    assert proposal_rank(View(2, view.voters, ["a", "c"]), snapshot, "b") is None


# -- random runs -------------------------------------------------------------------------------------------


class ChainModel:
    """Chain members with writes in flight, delivered in any order, and with views that members learn late.

    `committed` is the reference: the set of all committed words."""

    def __init__(self, names: str, random_source: random.Random) -> None:
        self.random_source = random_source
        view, self.members = chain_of(names)
        self.views = [view]
        self.in_flight: list[tuple[str, ChainWrite]] = []  # receiver, write
        self.committed: set[str] = set()
        self.words = 0
        self.accepted: dict[str, int] = dict.fromkeys(names, 1)  # the newest accepted epoch of each member
        self.reads = 0

    def step(self) -> None:
        action = self.random_source.choices(
            (self.write, self.deliver, self.learn, self.change_view, self.crash, self.read),
            weights=(4, 20, 8, 1, 1, 3),
        )[0]
        action()

    def write(self) -> None:
        member = self._any_member()
        if not (member.is_head and member.complete):
            return
        fresh = None
        if member.state_epoch == member.epoch:
            self.words += 1
            fresh = written(member.state, str(self.words))
        write = member.make_write(fresh)
        member.record_saved(write)
        self._forward_to_successor(member, write)

    def deliver(self) -> None:
        if not self.in_flight:
            return
        place = self.random_source.randrange(len(self.in_flight))
        receiver, write = self.in_flight.pop(place)
        member = self.members[receiver]
        if self.random_source.random() < 0.1 or not member.accepts(write):
            return
        member.record_saved(write)
        self._forward_to_successor(member, write)

    def _forward_to_successor(self, member: ChainMember, write: ChainWrite) -> None:
        successor_name = member.successor()
        if successor_name is not None:
            self.in_flight.append((successor_name, write))
            return
        member.commit(write)
        self.committed |= words(write.state)

    def learn(self) -> None:
        newest = self.random_source.random() < 0.7
        self._any_member().install(self.views[-1] if newest else self.random_source.choice(self.views))

    def change_view(self) -> None:
        view = self.views[-1]
        count = self.random_source.randint(quorum_size(view), len(self.members))
        alive = self.random_source.sample(sorted(self.members), count)
        up_to_date = [name for name in alive if self.members[name].epoch == view.epoch]
        proposers = [name for name in up_to_date if name in view.chain]
        if not proposers:
            return
        complete = frozenset(name for name in up_to_date if self.members[name].complete)
        reachable = dict.fromkeys(alive, frozenset(alive))
        planned = plan_chain(view, LivenessSnapshot(frozenset(alive), complete, reachable))
        if planned is None:
            return
        self.views.append(planned)
        for name in alive:
            self.accepted[name] = planned.epoch
        self.members[self.random_source.choice(proposers)].install(planned)

    def crash(self) -> None:
        name = self.random_source.choice(sorted(self.members))
        old = self.members[name]
        saved = encode_write(ChainWrite(old.state_epoch, old.state))
        self.members[name] = ChainMember(name, old.disk_id, saved)
        if old.view is not None:
            self.members[name].install(old.view)

    def read(self) -> None:
        """Check that a tail whose epoch a majority confirms knows every commit."""
        member = self._any_member()
        confirming = [name for name, epoch in self.accepted.items() if epoch <= member.epoch]
        if member.is_readable and len(confirming) >= quorum_size(self.views[0]):
            assert member.committed is not None
            assert self.committed <= words(member.committed)
            self.reads += 1

    def check(self) -> None:
        view = self.views[-1]
        assert len(view.chain) >= min_chain_length(view)
        for member in self.members.values():
            if member.view == view and member.is_head and member.complete:
                assert self.committed <= words(member.state), "a commit is lost"

    def _any_member(self) -> ChainMember:
        return self.members[self.random_source.choice(sorted(self.members))]


@pytest.mark.parametrize(("names", "least_reads"), [("abc", 400), ("abcd", 200), ("abcde", 100)])
def test_no_commit_is_lost_in_random_runs(names: str, least_reads: int) -> None:
    commits = views = reads = 0
    for seed in range(200):
        model = ChainModel(names, random.Random(f"{names} {seed}"))
        for _ in range(75 * len(names)):
            model.step()
            model.check()
        commits += len(model.committed)
        views += len(model.views)
        reads += model.reads
    assert commits > 300  # otherwise the runs covered too little
    assert views > 700
    assert reads > least_reads
