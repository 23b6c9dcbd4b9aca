"""One replica of one log: leader election, replication and commit.

The module is a state machine: the caller passes times and messages, and collects messages, data to store,
committed entries and events.  Sources: Ongaro and Ousterhout, "Raft" (2014), and Ongaro's thesis for the
lease, the pre-vote and group changes by one member; Liskov and Cowling, "Viewstamped Replication Revisited"
(2012), for the recovery of a replica that may have lost state.  Safety depends on one order: the caller must
make `stores` durable before it sends anything from `sends`.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from hollowusher.scheduler.rules.log_replication.messages import (
    MAX_ENTRIES_PER_APPEND,
    SNAPSHOT_CHUNK_BYTES,
    Append,
    Appended,
    HandBack,
    LearnReply,
    LearnRequest,
    LogEntry,
    Message,
    SnapshotChunk,
    SnapshotReceived,
    TakeOver,
    Vote,
    VoteRequest,
    VoterStanding,
)
from hollowusher.scheduler.rules.log_replication.pace import ReplicationTiming


class Role(Enum):
    """The role of a replica in its group."""

    LEARNER = "learner"  # recovering: it may have lost state, so it neither votes nor counts for commits
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class PersistentState:
    """The state of a replica that its storage returns after a restart."""

    term: int = 0
    voted: str = ""
    starts: int = 0
    heard: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )  # by other replica: the number of its starts, and the nonce of the last
    first: int = 1  # number of the first entry after the snapshot
    before: int = 0  # term of the entry before `first`
    entries: list[LogEntry] = field(default_factory=list)
    image: bytes = b""  # snapshot of the state up to entry `first` - 1
    image_group: tuple[str, ...] = ()

    @property
    def last(self) -> int:
        """Returns the number of the last entry."""
        return self.first + len(self.entries) - 1

    def term_of(self, number: int) -> int:
        """Returns the term of an entry, or -1 if the entry was compacted or is not present yet."""
        if number == self.first - 1:
            return self.before
        return self.entries[number - self.first].term if self.first <= number <= self.last else -1


@dataclass(frozen=True, slots=True)
class Store:
    """A write to storage.

    The caller makes the writes durable in order, before it sends the messages of the same step.  `meta`: the
    term, the vote or the starts have changed.  `cut`: entries from this number on are void (0: none).
    `entries`: new entries from number `first` on.  `image`: a snapshot that replaces all entries up to
    `upto`.
    """

    meta: bool = False
    cut: int = 0
    entries: tuple[LogEntry, ...] = ()
    first: int = 0
    image: bytes | None = None
    upto: int = 0


@dataclass(slots=True)
class ReplicaPeer:
    """The replication state that the leader keeps for another replica."""

    next: int
    match: int = 0
    sent_at: int = -(1 << 62)
    open: bool = False  # a message with entries or a snapshot chunk is unacknowledged
    acked_sent_at: int = -(1 << 62)  # send time (leader's clock) of the last append that it acknowledged
    lacks: bool = False  # it is a learner and counts for no commit
    snapshot_offset: int = -1  # acknowledged bytes of a snapshot; -1: it receives entries


class Replica:
    """One replica of the log of `owner`.

    The caller passes the time and at most one message to `step`, and calls `step` no later than at the time
    that `due` returns.  The caller handles and empties the outputs: `stores` first, then `sends`, `commits`
    (number and entry, in order) and `reported` (texts for the program's log).  Times are in nanoseconds.
    """

    def __init__(
        self,
        name: str,
        owner: str,
        group: Sequence[str],
        timing: ReplicationTiming,
        rng: random.Random,
        now: int,
        kept: PersistentState | None = None,
    ) -> None:
        self.name, self.owner, self.timing, self.rng = name, owner, timing, rng
        self.kept = kept or PersistentState()  # `kept`: the state that the storage returned, if any
        self._configured = tuple(group)
        self.role, self.leader = Role.LEARNER, ""
        self.commit = self.kept.first - 1
        self.sends: list[tuple[str, Message]] = []
        self.stores: list[Store] = []
        self.commits: list[tuple[int, LogEntry]] = []
        self.images: list[bytes] = []  # snapshots received from the leader; each replaces the committed state
        self.reported: list[str] = []
        self.peers: dict[str, ReplicaPeer] = {}
        self.lease_until = -(1 << 62)
        self._led_at = -(1 << 62)  # time of the last message from a leader
        self._election_at = now
        self._votes: set[str] = set()
        self._pre_voting = False
        self._handing_over = False  # the leadership is being handed over: no new entries are accepted
        self._handover_at = now
        self._first_entry_of_term = 0  # number of the first entry of this leader's term
        self._missing_members: set[str] = set()  # members that the membership view lacks
        self._received_chunks = bytearray()
        # The storage may have returned an old image, so a started replica asks all others first.
        self._storage_trusted = self.kept.starts > 0
        self.kept.starts += 1
        self.stores.append(Store(meta=True))
        self._nonce = rng.randrange(1, 1 << 53)
        self._learn_replies: dict[str, LearnReply] = {}
        # A learner without storage may vote again once it holds all entries of `_teacher` up to this number.
        self._required_match = 0
        self._teacher = ""  # the leader from which a learner recovers
        self._no_vote_until = now + timing.lease_ns  # leases granted before the restart have expired by then
        self._learn_at, self._trust_storage_at = now, now + 3 * timing.heartbeat_ns

    # --- queries ----------------------------------------------------------------------------------------

    @property
    def group(self) -> tuple[str, ...]:
        """Returns the group according to the last entry that changes it, whether committed or not."""
        for entry in reversed(self.kept.entries):
            if entry.group:
                return entry.group
        return self.kept.image_group or self._configured

    def _majority(self, group: Sequence[str] | None = None) -> int:
        return len(group or self.group) // 2 + 1

    def can_write(self, now: int) -> bool:
        """Whether this replica may accept writes.

        It must lead, hold a lease that a majority has renewed, have committed the first entry of its term and
        thereby all entries of earlier leaders, and not be handing over the leadership.
        """
        return (
            self.role is Role.LEADER
            and not self._handing_over
            and now < self.lease_until
            and self.commit >= self._first_entry_of_term
        )

    def due(self) -> int:
        """Returns the time of the next timer: the caller must call `step` by then."""
        match self.role:
            case Role.LEARNER:
                return self._learn_at
            case Role.LEADER:
                return min(
                    (p.sent_at + self.timing.heartbeat_ns for p in self.peers.values()),
                    default=self._led_at + self.timing.heartbeat_ns,
                )
            case _:
                return self._election_at

    # --- inputs -----------------------------------------------------------------------------------------

    def step(self, now: int, message: Message | None = None, sender: str = "") -> None:
        """Handles one received message, if any, and runs the timer if it is due."""
        if message is not None:
            self._handle_message(now, message, sender)
        if now < self.due():
            return
        if self.role is Role.LEARNER:
            self._learn(now)
        elif self.role is Role.LEADER:
            self._lead(now)
        else:
            self._start_pre_vote(now)

    def propose(self, now: int, data: Sequence[bytes], group: tuple[str, ...] = ()) -> int:
        """Appends entries as the leader; returns the number of the last one, or 0 if it may not write."""
        if not self.can_write(now):
            return 0
        entries = tuple(LogEntry(self.kept.term, d) for d in data)
        if group:
            gone, new = set(self.group) - set(group), set(group) - set(self.group)
            still = any(e.group for e in self.kept.entries[self.commit - self.kept.first + 1 :])
            if len(gone) + len(new) != 1 or self.name in gone or still:
                return 0  # one change at a time, committed before the next one
            entries += (LogEntry(self.kept.term, b"", group),)
        self._extend(entries)
        if group:
            self._set_peers(now)
        self._advance()
        for name in self.peers:
            self._append(now, name)
        return self.kept.last

    def handle_missing_members(self, now: int, names: set[str]) -> None:
        """Stores the members that the membership view lacks; a follower of one of them campaigns early."""
        self._missing_members = names
        if self.role is Role.FOLLOWER and self.leader in names:
            self._election_at = min(
                self._election_at,
                max(now, self._led_at + self.timing.lease_ns)
                + round(self.rng.random() * self.timing.heartbeat_ns),
            )

    def hand_back(self, now: int) -> None:
        """Requests the leadership if this replica is the owner of the log and follows another leader."""
        if self.role is Role.FOLLOWER and self.name == self.owner and self.leader not in ("", self.name):
            self.sends.append((self.leader, HandBack(self.owner, self.kept.term)))

    def compact(self, image: bytes) -> None:
        """Replaces all committed entries by `image`, a snapshot of the committed state."""
        kept, upto = self.kept, self.commit
        if upto < kept.first:
            return
        group = next(
            (e.group for e in reversed(kept.entries[: upto - kept.first + 1]) if e.group), kept.image_group
        )
        before = kept.term_of(upto)
        kept.entries = kept.entries[upto - kept.first + 1 :]
        kept.first, kept.before, kept.image, kept.image_group = upto + 1, before, image, group
        self.stores.append(Store(image=image, upto=upto))

    # --- received messages ------------------------------------------------------------------------------

    def _handle_message(self, now: int, message: Message, sender: str) -> None:
        match message:
            case LearnRequest():
                self._handle_learn_request(message, sender)
            case LearnReply():
                self._handle_learn_reply(now, message, sender)
            case Append():
                if self._accepts_leader(now, message.term, sender):
                    self._handle_append(now, message, sender)
                else:
                    self.sends.append((sender, Appended(self.owner, self.kept.term, False, 0, message.sent)))
            case SnapshotChunk():
                if self._accepts_leader(now, message.term, sender):
                    self._handle_snapshot_chunk(now, message, sender)
            case Appended() if message.term > self.kept.term and self.role is not Role.LEARNER:
                self._become_follower(now, message.term, "")
            case Appended() if message.term == self.kept.term and self.role is Role.LEADER:
                self._handle_append_reply(now, message, sender)
            case SnapshotReceived() if message.term == self.kept.term and self.role is Role.LEADER:
                self._handle_snapshot_received(now, message, sender)
            case VoteRequest() if self.role is not Role.LEARNER:
                self._handle_vote_request(now, message, sender)
            case Vote() if self.role is not Role.LEARNER:
                self._handle_vote(now, message, sender)
            case HandBack() if self.role is Role.LEADER and sender == self.owner:
                peer = self.peers.get(sender)
                if peer is not None and not peer.lacks and peer.match == self.kept.last == self.commit:
                    self._handing_over, self._handover_at = True, now
                    self.sends.append((sender, TakeOver(self.owner, self.kept.term)))
            case TakeOver() if message.term == self.kept.term and self.role is Role.FOLLOWER:
                self._campaign(now, calls=True)
            case _:
                pass

    def _accepts_leader(self, now: int, term: int, sender: str) -> bool:
        """Accepts a message of a leader unless its term is lower than the current one (fencing).

        A learner accepts it, too, and stays a learner.
        """
        if term < self.kept.term:
            return False
        if self.role is Role.LEARNER:
            if term > self.kept.term:
                self._set_term(term, "")
            self.leader, self._led_at = sender, now
            return True
        if term > self.kept.term or self.role is not Role.FOLLOWER or self.leader != sender:
            self._become_follower(now, term, sender)
        self._led_at = now
        self._election_at = now + self._election_timeout_ns()
        return True

    def _handle_append(self, now: int, m: Append, sender: str) -> None:
        """Appends the leader's entries if the log matches at `prev`; otherwise rejects them with a hint."""
        kept = self.kept
        if m.prev > kept.last or (m.prev >= kept.first - 1 and kept.term_of(m.prev) != m.prev_term):
            hint = min(kept.last, m.prev - 1)
            self._reply_to_append(sender, False, max(hint, self.commit), m.sent)
            return
        for at, entry in enumerate(m.entries, m.prev + 1):
            if at < kept.first or kept.term_of(at) == entry.term:
                continue
            if at <= kept.last:
                self._truncate(at)
            self._extend(m.entries[at - m.prev - 1 :])
            break
        match = m.prev + len(m.entries)
        self._commit_to(min(m.commit, match))
        if (
            self.role is Role.LEARNER
            and self._required_match
            and match >= self._required_match
            and sender == self._teacher
        ):
            self._finish_learning(now)
        self._reply_to_append(sender, True, match, m.sent)

    def _reply_to_append(self, sender: str, ok: bool, match: int, sent: int) -> None:
        lacks = self.role is Role.LEARNER
        self.sends.append((sender, Appended(self.owner, self.kept.term, ok, match, sent, lacks)))

    # --- leader -----------------------------------------------------------------------------------------

    def _lead(self, now: int) -> None:
        if self._handing_over and now - self._handover_at > self.timing.lease_ns:
            self._handing_over = False  # the owner did not take over in time
        if self.peers and now - max(self.lease_until, self._led_at) > self.timing.lease_ns:
            # No majority acknowledges any more: pending writes must fail instead of waiting further.
            self._become_follower(now, self.kept.term, "")
            return
        if not self.peers:
            self._led_at = now
            self.lease_until = now + self.timing.lease_ns
        for name, peer in self.peers.items():
            if peer.sent_at + self.timing.heartbeat_ns <= now:
                if now - peer.sent_at >= self.timing.resend_heartbeats * self.timing.heartbeat_ns:
                    peer.open = False
                self._append(now, name, heartbeat=True)

    def _append(self, now: int, name: str, heartbeat: bool = False) -> None:
        """Sends a replica its missing entries, one unacknowledged message at a time.

        A heartbeat is sent even while a message is unacknowledged.
        """
        kept, peer = self.kept, self.peers[name]
        if peer.open and not heartbeat:
            return
        if peer.snapshot_offset >= 0 or peer.next < kept.first:
            self._send_snapshot_chunk(now, name, peer)
            return
        entries = () if peer.open else tuple(kept.entries[peer.next - kept.first :][:MAX_ENTRIES_PER_APPEND])
        if not entries and not heartbeat:
            return
        prev = peer.next - 1
        peer.open, peer.sent_at = bool(entries) or peer.open, now
        self.sends.append(
            (name, Append(self.owner, kept.term, prev, kept.term_of(prev), entries, self.commit, now))
        )

    def _send_snapshot_chunk(self, now: int, name: str, peer: ReplicaPeer) -> None:
        kept, at = self.kept, max(0, peer.snapshot_offset)
        peer.snapshot_offset, peer.sent_at, peer.open = at, now, True
        self.sends.append(
            (
                name,
                SnapshotChunk(
                    self.owner,
                    kept.term,
                    kept.first - 1,
                    kept.before,
                    kept.image_group,
                    at,
                    len(kept.image),
                    kept.image[at : at + SNAPSHOT_CHUNK_BYTES],
                    now,
                ),
            )
        )

    def _handle_snapshot_received(self, now: int, m: SnapshotReceived, sender: str) -> None:
        peer = self.peers.get(sender)
        if peer is None or peer.snapshot_offset < 0:
            return
        peer.open = False
        if m.last != self.kept.first - 1:
            peer.snapshot_offset = 0  # the snapshot was replaced by a newer one
        elif m.at >= len(self.kept.image):
            peer.snapshot_offset, peer.next, peer.match = -1, m.last + 1, max(peer.match, m.last)
        else:
            peer.snapshot_offset = m.at
        self._append(now, sender, heartbeat=True)

    def _handle_append_reply(self, now: int, m: Appended, sender: str) -> None:
        """Handles an acknowledgement, or a rejection with the number from which to retry."""
        peer = self.peers.get(sender)
        if peer is None:
            return
        peer.open, peer.lacks = False, m.lacks
        if not m.lacks:
            peer.acked_sent_at = max(peer.acked_sent_at, m.sent)
        if m.ok:
            peer.match = m.match if m.lacks else max(peer.match, m.match)
            peer.next = max(peer.next, peer.match + 1)
            self._advance()
        else:
            peer.next = min(peer.next - 1 if peer.next > 1 else 1, m.match + 1)
            peer.match = min(peer.match, peer.next - 1)
        self._renew(now)
        self._append(now, sender)

    def _renew(self, now: int) -> None:
        """Renews the lease from the send times of the appends that a majority has acknowledged."""
        times = sorted(
            [now, *(p.acked_sent_at for n, p in self.peers.items() if n in self.group)], reverse=True
        )
        if len(times) >= self._majority():
            self.lease_until = max(
                self.lease_until, times[self._majority() - 1] + self.timing.lease_validity_ns
            )

    def _advance(self) -> None:
        """Commits all entries that a majority holds, if the last of them belongs to the current term."""
        held = sorted(
            [
                self.kept.last if self.name in self.group else 0,
                *(p.match for n, p in self.peers.items() if not p.lacks and n in self.group),
            ],
            reverse=True,
        )
        if len(held) >= self._majority():
            number = held[self._majority() - 1]
            if number > self.commit and self._countable(number):
                self._commit_to(number)

    def _countable(self, number: int) -> bool:
        return self.kept.term_of(number) == self.kept.term

    def _commit_to(self, number: int) -> None:
        number = min(number, self.kept.last)
        while self.commit < number:
            self.commit += 1
            self.commits.append((self.commit, self.kept.entries[self.commit - self.kept.first]))

    # --- elections --------------------------------------------------------------------------------------

    def _start_pre_vote(self, now: int) -> None:
        """Starts a pre-vote after the election timeout.

        A pre-vote changes no state, so a replica that merely loses messages cannot depose a working leader.
        """
        self._election_at = now + self._election_timeout_ns()
        if self.name not in self.group:
            return
        self._votes, self._pre_voting = {self.name}, True
        if len(self._votes) >= self._majority():
            self._campaign(now)
            return
        for name in self._others():
            self.sends.append(
                (
                    name,
                    VoteRequest(
                        self.owner,
                        self.kept.term + 1,
                        self.kept.last,
                        self.kept.term_of(self.kept.last),
                        trial=True,
                    ),
                )
            )

    def _campaign(self, now: int, calls: bool = False) -> None:
        self._set_term(self.kept.term + 1, self.name)
        self.role, self.leader, self._pre_voting = Role.CANDIDATE, "", False
        self._votes = {self.name}
        self._election_at = now + self._election_timeout_ns()
        if len(self._votes) >= self._majority():
            self._become_leader(now)
            return
        for name in self._others():
            self.sends.append(
                (
                    name,
                    VoteRequest(
                        self.owner,
                        self.kept.term,
                        self.kept.last,
                        self.kept.term_of(self.kept.last),
                        calls=calls,
                    ),
                )
            )

    def _handle_vote_request(self, now: int, m: VoteRequest, sender: str) -> None:
        kept = self.kept
        if self._is_bound_by_lease(now, m, sender):
            # The current leader's lease is still valid: the replica rejects the vote and ignores the higher
            # term.
            self.sends.append((sender, Vote(self.owner, max(kept.term, 0), False, m.trial)))
            return
        complete = self._is_up_to_date(m)
        if m.trial:
            yes = complete and m.term > kept.term
            self.sends.append((sender, Vote(self.owner, m.term if yes else kept.term, yes, True)))
            return
        if m.term > kept.term:
            self._become_follower(now, m.term, "")
        yes = complete and m.term == kept.term and kept.voted in ("", sender) and now >= self._no_vote_until
        if yes and not kept.voted:
            self._set_term(m.term, sender)
        if yes:
            self._election_at = now + self._election_timeout_ns()
        self.sends.append((sender, Vote(self.owner, kept.term, yes)))

    def _is_bound_by_lease(self, now: int, m: VoteRequest, sender: str) -> bool:
        """Whether a lease that this replica granted, or its own lease as the leader, is still valid."""
        if m.calls or self.leader in ("", sender):
            return False
        return (
            now < self.lease_until if self.role is Role.LEADER else now - self._led_at < self.timing.lease_ns
        )

    def _is_up_to_date(self, m: VoteRequest) -> bool:
        """Whether the candidate's log is at least as up to date as this one.

        A candidate with the votes of a majority therefore holds all committed entries.
        """
        return (m.last_term, m.last) >= (self.kept.term_of(self.kept.last), self.kept.last)

    def _handle_vote(self, now: int, m: Vote, sender: str) -> None:
        if m.term > self.kept.term and not (m.trial and m.yes):
            self._become_follower(now, m.term, "")
            return
        if sender not in self.group or not m.yes:
            return
        if m.trial and self._pre_voting and m.term == self.kept.term + 1:
            self._votes.add(sender)
            if len(self._votes) >= self._majority():
                self._campaign(now)
        elif not m.trial and self.role is Role.CANDIDATE and m.term == self.kept.term:
            self._votes.add(sender)
            if len(self._votes) >= self._majority():
                self._become_leader(now)

    def _become_leader(self, now: int) -> None:
        """Becomes the leader and appends an empty entry; its commit also commits all earlier entries."""
        self.role, self.leader, self._handing_over, self._led_at = Role.LEADER, self.name, False, now
        self.lease_until = -(1 << 62)
        self.peers = {}
        self._extend((LogEntry(self.kept.term),))
        self._first_entry_of_term = self.kept.last
        self._set_peers(now)
        self.reported.append(f"is the leader of term {self.kept.term}")
        self._advance()
        self._lead(now)

    def _set_peers(self, now: int) -> None:
        self.peers = {n: self.peers.get(n) or ReplicaPeer(self.kept.last) for n in self._others()}

    def _become_follower(self, now: int, term: int, leader: str) -> None:
        if self.role is Role.LEADER:
            self.reported.append(f"is no longer the leader: term {term}")
        if term > self.kept.term:
            self._set_term(term, "")
        self.role, self.leader, self.peers, self._pre_voting = Role.FOLLOWER, leader, {}, False
        self._received_chunks.clear()
        self._election_at = max(self._election_at, now + self._election_timeout_ns())

    # --- recovery after a start -------------------------------------------------------------------------

    def _learn(self, now: int) -> None:
        """Asks all other replicas for the term and the known starts, until enough of them have replied."""
        self._learn_at = now + self.timing.heartbeat_ns
        self._learn_replies = {n: t for n, t in self._learn_replies.items() if n in self.group}
        if len(self.group) == 1:
            self._finish_learning(now)
            return
        starts = self.kept.starts if self._storage_trusted else 0
        for name in self._others():
            self.sends.append((name, LearnRequest(self.owner, self._nonce, starts)))

    def _handle_learn_request(self, m: LearnRequest, sender: str) -> None:
        known, nonce = self.kept.heard.get(sender, (0, 0))
        if m.nonce == nonce:
            known = m.starts - 1  # a repeated request of the same start
        elif m.starts > known:
            self.kept.heard[sender] = (m.starts, m.nonce)
            self.stores.append(Store(meta=True))
        # A replica without entries that never took part in a term knows no more than one that lost its state.
        standing = VoterStanding.BLANK
        if self.role is not Role.LEARNER and (self.kept.term or self.kept.last):
            standing = VoterStanding.FULL
        elif self.role is Role.LEARNER and self._storage_trusted:
            standing = VoterStanding.STORED
        elif self.kept.last:
            # It received entries before the leader that it recovered from failed, so the log is not empty.
            standing = VoterStanding.PART
        self.sends.append(
            (
                sender,
                LearnReply(
                    self.owner,
                    m.nonce,
                    self.kept.term,
                    known,
                    standing,
                    self.role is Role.LEADER,
                    self.kept.last,
                ),
            )
        )

    def _handle_learn_reply(self, now: int, m: LearnReply, sender: str) -> None:
        if self.role is not Role.LEARNER or m.nonce != self._nonce or sender not in self.group:
            return
        self._learn_replies[sender] = m
        reported = list(self._learn_replies.values())
        if self._storage_trusted and any(t.starts >= self.kept.starts for t in reported):
            # Another replica knows of a later start of this one, so the storage returned an old image.
            self.reported.append(
                "its storage is an old image: the replica discards it and recovers from the others"
            )
            self._storage_trusted, self.kept.starts = False, max(t.starts for t in reported) + 1
            self._discard_log()
        full = {n: t for n, t in self._learn_replies.items() if t.standing == VoterStanding.FULL}
        if len(full) >= self._majority():
            newest = max(t.term for t in full.values())
            for name, t in full.items():
                if t.leads and t.term == newest and name != self._teacher:
                    self._teacher, self._required_match = name, t.last
            if newest > self.kept.term:
                self._set_term(newest, "")
        elif self._storage_trusted:
            # Too few full replicas are left to learn from, for example after a restart of the whole group, so
            # the replica relies on its own storage.
            if (
                now >= self._trust_storage_at
                and 1 + sum(t.standing >= VoterStanding.STORED for t in reported) >= self._majority()
            ):
                self._finish_learning(now)
        elif (
            len(reported) == len(self.group) - 1
            and not self.kept.last
            and not any(t.standing for t in reported)
        ):
            # No replica of the group holds any state: the log is new, or all committed entries are lost.
            self.reported.append("nobody holds anything of this log: it begins anew")
            self._finish_learning(now)

    def _discard_log(self) -> None:
        self.kept.entries, self.kept.first, self.kept.before = [], 1, 0
        self.kept.image, self.kept.image_group, self.commit = b"", (), 0
        self.images.append(b"")
        self.commits.clear()
        self.stores.append(Store(meta=True, cut=1, image=b"", upto=0))

    def _finish_learning(self, now: int) -> None:
        """Ends the recovery: from now on the replica votes and counts for commits."""
        if not self._storage_trusted:
            # The others remember the starts from before this replica lost its storage.  It continues that
            # count and announces it; otherwise they would take its next start for one with an old image.
            self.kept.starts = max([self.kept.starts, *(t.starts + 1 for t in self._learn_replies.values())])
            self.stores.append(Store(meta=True))
            self.sends += [
                (n, LearnRequest(self.owner, self._nonce, self.kept.starts)) for n in self._others()
            ]
        self.role, self._storage_trusted = Role.FOLLOWER, True
        if self._required_match and not self.kept.voted:
            self._set_term(self.kept.term, "?")  # its vote in this term is lost, so it must not vote again
        self._election_at = now + self._election_timeout_ns()
        self.reported.append("recovery is complete")

    def _handle_snapshot_chunk(self, now: int, m: SnapshotChunk, sender: str) -> None:
        """Adds a chunk of a snapshot; the complete snapshot replaces the local state."""
        kept = self.kept
        if m.last <= self.commit:
            self.sends.append((sender, SnapshotReceived(self.owner, kept.term, m.last, m.complete, m.sent)))
            return
        if m.at == 0:
            self._received_chunks = bytearray()
        if m.at == len(self._received_chunks):
            self._received_chunks += m.piece
        if len(self._received_chunks) >= m.complete:
            image = bytes(self._received_chunks)
            if kept.term_of(m.last) == m.last_term:  # the entries after the snapshot stay
                kept.entries = kept.entries[m.last - kept.first + 1 :]
            else:
                kept.entries = []
            kept.first, kept.before, kept.image, kept.image_group = m.last + 1, m.last_term, image, m.group
            self.commit = m.last
            self.stores.append(Store(cut=0 if kept.entries else m.last + 1, image=image, upto=m.last))
            self.images.append(image)
            self.commits.clear()
        self.sends.append(
            (sender, SnapshotReceived(self.owner, kept.term, m.last, len(self._received_chunks), m.sent))
        )

    def _election_timeout_ns(self) -> int:
        """Returns a random election timeout in nanoseconds."""
        return self.timing.wait_ns(self.rng.random(), self.name == self.owner, len(self.group))

    # --- helpers ----------------------------------------------------------------------------------------

    def _others(self) -> list[str]:
        return [n for n in self.group if n != self.name]

    def _set_term(self, term: int, voted: str) -> None:
        self.kept.term, self.kept.voted = term, voted
        self.stores.append(Store(meta=True))

    def _extend(self, entries: tuple[LogEntry, ...]) -> None:
        self.stores.append(Store(entries=entries, first=self.kept.last + 1))
        self.kept.entries += entries

    def _truncate(self, number: int) -> None:
        assert number > self.commit, "a committed entry must not be truncated"
        self.kept.entries = self.kept.entries[: number - self.kept.first]  # storage overwrites the rest
