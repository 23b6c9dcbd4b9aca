"""One member's copy of one log: who leads it, what it holds, how far it is committed.

A state machine: times and messages in; messages, things to store, committed entries and events out.
Sources: Ongaro and Ousterhout, "Raft" (2014), its thesis for the lease, the trial vote and the change of a
group by one; Liskov and Cowling, "Viewstamped Replication Revisited" (2012), for a member that starts and
does not know what it has forgotten.  The order that all rests on: what `stores` holds is stored before
anything of `sends` goes out.
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
    """What a member is in a group just now."""

    LEARNER = "learner"  # it may have forgotten what it said: it votes for nobody and vouches for nothing
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class PersistentState:
    """What a member holds of a log, and what its storage gives back after a restart."""

    term: int = 0
    voted: str = ""
    starts: int = 0
    heard: dict[str, tuple[int, int]] = field(default_factory=dict)  # of each other: starts, and the nonce
    first: int = 1  # the number of the first entry that is kept
    before: int = 0  # the term of the one before it
    entries: list[LogEntry] = field(default_factory=list)
    image: bytes = b""  # the state up to first - 1
    image_group: tuple[str, ...] = ()

    @property
    def last(self) -> int:
        """The number of the last entry."""
        return self.first + len(self.entries) - 1

    def term_of(self, number: int) -> int:
        """The term of an entry; -1 where it is not known any more, or not yet."""
        if number == self.first - 1:
            return self.before
        return self.entries[number - self.first].term if self.first <= number <= self.last else -1


@dataclass(frozen=True, slots=True)
class Store:
    """To be made durable, in order, before what was said in the same step goes out.

    `meta`: term, vote and starts have changed; `cut`: entries from that number on are void (0: none);
    `entries`: from number `first` on; `image`: the state up to `upto` takes the place of entries so far."""

    meta: bool = False
    cut: int = 0
    entries: tuple[LogEntry, ...] = ()
    first: int = 0
    image: bytes | None = None
    upto: int = 0


@dataclass(slots=True)
class ReplicaPeer:
    """What a leader knows of one copy."""

    next: int
    match: int = 0
    sent_at: int = -(1 << 62)
    open: bool = False  # an append is under way
    acked_sent_at: int = -(1 << 62)  # when the last append that it answered had been sent, by our clock
    lacks: bool = False
    snapshot_offset: int = -1  # how much of an image it has; -1: it is sent entries


class Replica:
    """`step` takes the time and at most one message; `due` is when to call it.  The caller empties `stores`
    (first), `sends`, `commits` (number and entry, in order) and `reported` (words for the log)."""

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
        self.kept = kept or PersistentState()
        self._configured = tuple(group)
        self.role, self.leader = Role.LEARNER, ""
        self.commit = self.kept.first - 1
        self.sends: list[tuple[str, Message]] = []
        self.stores: list[Store] = []
        self.commits: list[tuple[int, LogEntry]] = []
        self.images: list[bytes] = []  # states that take the place of what was committed before
        self.reported: list[str] = []
        self.peers: dict[str, ReplicaPeer] = {}
        self.lease_until = -(1 << 62)
        self._led_at = -(1 << 62)  # when a leader was last heard
        self._election_at = now
        self._votes: set[str] = set()
        self._pre_voting = False
        self._handing_over = False  # the lead is being given back: nothing new is taken
        self._handover_at = now
        self._first_entry_of_term = 0  # the entry with which this leader began
        self._missing_members: set[str] = set()  # whom the view of the members holds dead
        self._received_chunks = bytearray()
        # A start: whatever the storage gave back, it may be an old image of it.  So all are asked first.
        self._storage_trusted = self.kept.starts > 0
        self.kept.starts += 1
        self.stores.append(Store(meta=True))
        self._nonce = rng.randrange(1, 1 << 53)
        self._learn_replies: dict[str, LearnReply] = {}
        self._required_match = 0  # a learner without storage votes again once it holds all up to here
        self._teacher = ""
        self._no_vote_until = now + timing.lease_ns  # what it promised before it forgot has run out by then
        self._learn_at, self._trust_storage_at = now, now + 3 * timing.heartbeat_ns

    # --- what others read -------------------------------------------------------------------------------

    @property
    def group(self) -> tuple[str, ...]:
        """Who keeps this log: what its last entry about that says, committed or not."""
        for entry in reversed(self.kept.entries):
            if entry.group:
                return entry.group
        return self.kept.image_group or self._configured

    def _majority(self, group: Sequence[str] | None = None) -> int:
        return len(group or self.group) // 2 + 1

    def can_write(self, now: int) -> bool:
        """Whether it may promise: it leads, a majority has vouched for that a moment ago, and all that led
        before is committed."""
        return (
            self.role is Role.LEADER
            and not self._handing_over
            and now < self.lease_until
            and self.commit >= self._first_entry_of_term
        )

    def due(self) -> int:
        """When `step` is to be called at the latest."""
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

    # --- what drives it ---------------------------------------------------------------------------------

    def step(self, now: int, message: Message | None = None, sender: str = "") -> None:
        """Take what has come and do what is due."""
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
        """Add entries; the last one's number, or 0 where it may not promise."""
        if not self.can_write(now):
            return 0
        entries = tuple(LogEntry(self.kept.term, d) for d in data)
        if group:
            gone, new = set(self.group) - set(group), set(group) - set(self.group)
            still = any(e.group for e in self.kept.entries[self.commit - self.kept.first + 1 :])
            if len(gone) + len(new) != 1 or self.name in gone or still:
                return 0  # one at a time, each committed before the next
            entries += (LogEntry(self.kept.term, b"", group),)
        self._extend(entries)
        if group:
            self._set_peers(now)
        self._advance()
        for name in self.peers:
            self._append(now, name)
        return self.kept.last

    def handle_missing_members(self, now: int, names: set[str]) -> None:
        """Whom the view of the members holds dead: a follower whose leader is among them asks sooner."""
        self._missing_members = names
        if self.role is Role.FOLLOWER and self.leader in names:
            self._election_at = min(
                self._election_at,
                max(now, self._led_at + self.timing.lease_ns)
                + round(self.rng.random() * self.timing.heartbeat_ns),
            )

    def hand_back(self, now: int) -> None:
        """The owner asks for the lead of its log, if another has it."""
        if self.role is Role.FOLLOWER and self.name == self.owner and self.leader not in ("", self.name):
            self.sends.append((self.leader, HandBack(self.owner, self.kept.term)))

    def compact(self, image: bytes) -> None:
        """The state of all that is committed takes the place of the entries."""
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

    # --- messages in ------------------------------------------------------------------------------------

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
        """Whether a leader's word counts: the fence.  A learner heeds one too, and vouches for nothing."""
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
        """The leader's entries: those that follow what we hold."""
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

    # --- leading ----------------------------------------------------------------------------------------

    def _lead(self, now: int) -> None:
        if self._handing_over and now - self._handover_at > self.timing.lease_ns:
            self._handing_over = False  # it was not taken
        if self.peers and now - max(self.lease_until, self._led_at) > self.timing.lease_ns:
            self._become_follower(
                now, self.kept.term, ""
            )  # no majority answers: what waits here must not wait on
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
        """What a copy lacks, one piece at a time; a beat goes out while a piece is under way too."""
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
            peer.snapshot_offset = 0  # there is a newer one
        elif m.at >= len(self.kept.image):
            peer.snapshot_offset, peer.next, peer.match = -1, m.last + 1, max(peer.match, m.last)
        else:
            peer.snapshot_offset = m.at
        self._append(now, sender, heartbeat=True)

    def _handle_append_reply(self, now: int, m: Appended, sender: str) -> None:
        """A copy holds what it was sent, or says from where on it does not."""
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
        """The lease: from when the appends were sent that a majority has answered."""
        times = sorted(
            [now, *(p.acked_sent_at for n, p in self.peers.items() if n in self.group)], reverse=True
        )
        if len(times) >= self._majority():
            self.lease_until = max(
                self.lease_until, times[self._majority() - 1] + self.timing.lease_validity_ns
            )

    def _advance(self) -> None:
        """What a majority holds is committed, once an entry of this term is among it."""
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

    # --- who leads --------------------------------------------------------------------------------------

    def _start_pre_vote(self, now: int) -> None:
        """Nothing was heard of a leader for a lease and more: would they follow us?  Nothing changes by the
        question, so that one who merely hears badly brings nobody down."""
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
            # A leader has our word for a lease: whoever asks meanwhile is not answered yes, nor is its term
            # taken up.
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
        """Whether our word to a leader still holds, or we lead and others' word to us does."""
        if m.calls or self.leader in ("", sender):
            return False
        return (
            now < self.lease_until if self.role is Role.LEADER else now - self._led_at < self.timing.lease_ns
        )

    def _is_up_to_date(self, m: VoteRequest) -> bool:
        """Whether whoever asks holds all that we do: a majority of such holds all that was committed."""
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
        """We lead.  The first entry says nothing: once it is committed, all before it is."""
        self.role, self.leader, self._handing_over, self._led_at = Role.LEADER, self.name, False, now
        self.lease_until = -(1 << 62)
        self.peers = {}
        self._extend((LogEntry(self.kept.term),))
        self._first_entry_of_term = self.kept.last
        self._set_peers(now)
        self.reported.append(f"leads in term {self.kept.term}")
        self._advance()
        self._lead(now)

    def _set_peers(self, now: int) -> None:
        self.peers = {n: self.peers.get(n) or ReplicaPeer(self.kept.last) for n in self._others()}

    def _become_follower(self, now: int, term: int, leader: str) -> None:
        if self.role is Role.LEADER:
            self.reported.append(f"no longer leads: term {term}")
        if term > self.kept.term:
            self._set_term(term, "")
        self.role, self.leader, self.peers, self._pre_voting = Role.FOLLOWER, leader, {}, False
        self._received_chunks.clear()
        self._election_at = max(self._election_at, now + self._election_timeout_ns())

    # --- a start ----------------------------------------------------------------------------------------

    def _learn(self, now: int) -> None:
        """Ask all what they know, until enough is known."""
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
            known = m.starts - 1  # asked once more in this same start
        elif m.starts > known:
            self.kept.heard[sender] = (m.starts, m.nonce)
            self.stores.append(Store(meta=True))
        # One that holds nothing and has voted for nobody knows no more than one that may have forgotten it.
        standing = VoterStanding.BLANK
        if self.role is not Role.LEARNER and (self.kept.term or self.kept.last):
            standing = VoterStanding.FULL
        elif self.role is Role.LEARNER and self._storage_trusted:
            standing = VoterStanding.STORED
        elif self.kept.last:
            standing = (
                VoterStanding.PART
            )  # what it was taught before its teacher was lost: so the log is not void
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
            # Somebody has heard of a later start of ours: what our storage gave back is an old image of it.
            self.reported.append("its storage is an old image: it learns anew")
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
            # Too few can teach us, so that our storage is needed: all of a group have been restarted, say.
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
            # Nobody in the whole group holds anything: the log begins, or all that was promised is lost.
            self.reported.append("nobody holds anything of this log: it begins anew")
            self._finish_learning(now)

    def _discard_log(self) -> None:
        self.kept.entries, self.kept.first, self.kept.before = [], 1, 0
        self.kept.image, self.kept.image_group, self.commit = b"", (), 0
        self.images.append(b"")
        self.commits.clear()
        self.stores.append(Store(meta=True, cut=1, image=b"", upto=0))

    def _finish_learning(self, now: int) -> None:
        """From now on it votes and vouches."""
        if not self._storage_trusted:
            # The others remember starts from before it lost its storage: it counts on from there and says so,
            # else its next start would be taken for one with an old image.
            self.kept.starts = max([self.kept.starts, *(t.starts + 1 for t in self._learn_replies.values())])
            self.stores.append(Store(meta=True))
            self.sends += [
                (n, LearnRequest(self.owner, self._nonce, self.kept.starts)) for n in self._others()
            ]
        self.role, self._storage_trusted = Role.FOLLOWER, True
        if self._required_match and not self.kept.voted:
            self._set_term(self.kept.term, "?")  # whom it voted for in this term it cannot know
        self._election_at = now + self._election_timeout_ns()
        self.reported.append("knows all that it must")

    def _handle_snapshot_chunk(self, now: int, m: SnapshotChunk, sender: str) -> None:
        """A piece of the state; the whole takes the place of what we hold."""
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
            if kept.term_of(m.last) == m.last_term:  # what follows it is kept
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
        """How long from now a silent leader is waited for."""
        return self.timing.wait_ns(self.rng.random(), self.name == self.owner, len(self.group))

    # --- small things -----------------------------------------------------------------------------------

    def _others(self) -> list[str]:
        return [n for n in self.group if n != self.name]

    def _set_term(self, term: int, voted: str) -> None:
        self.kept.term, self.kept.voted = term, voted
        self.stores.append(Store(meta=True))

    def _extend(self, entries: tuple[LogEntry, ...]) -> None:
        self.stores.append(Store(entries=entries, first=self.kept.last + 1))
        self.kept.entries += entries

    def _truncate(self, number: int) -> None:
        assert number > self.commit, "what is committed is never taken back"
        self.kept.entries = self.kept.entries[: number - self.kept.first]  # those that follow are stored over
