"""Records that are sent late, or not at all, to replicas that the commit quorum does not need."""

from __future__ import annotations

import random
from unittest import TestCase

from hollowusher.messages.partition.proposal import NO_KEY, Proposal
from hollowusher.messages.replication.deferred_copies import (
    MAX_COMMIT_WAIT_S,
    MAX_DEFERRAL_S,
    DeferredCopies,
)
from hollowusher.messages.replication.outgoing_record import OutgoingRecord

KEY = (1, 7)
MAX_COMMIT_WAIT = max(MAX_COMMIT_WAIT_S.values())


def put(key: tuple[int, int] = KEY, *, committed: bool = True) -> OutgoingRecord:
    proposal = Proposal(key, b"put", needs_sync=True, created_at=0.0, is_put=True, is_committed=committed)
    return OutgoingRecord(0, proposal)


def state(key: tuple[int, int] = KEY, *, committed: bool = True, completes: bool = False) -> OutgoingRecord:
    proposal = Proposal(
        key,
        b"state",
        needs_sync=completes,
        created_at=0.0,
        completes_message=completes,
        is_committed=committed,
    )
    return OutgoingRecord(0, proposal)


class TestDeferredCopies(TestCase):
    def setUp(self) -> None:
        self.copies = DeferredCopies()

    def test_committed_record_is_deferred(self) -> None:
        body = put()
        self.copies.add(body, 0.0)
        assert self.copies.take_due(MAX_DEFERRAL_S - 0.01) == []
        assert self.copies.next_due_at() == MAX_DEFERRAL_S
        assert self.copies.take_due(MAX_DEFERRAL_S) == [body]
        assert self.copies.next_due_at() is None

    def test_uncommitted_record_is_sent_after_commit_wait(self) -> None:
        body = put(committed=False)
        due_at = self.copies.add(body, 0.0)
        assert due_at == MAX_COMMIT_WAIT_S[True] == self.copies.next_due_at()
        assert self.copies.take_due(due_at - 0.001) == []
        assert self.copies.take_due(due_at) == [body]
        assert len(self.copies) == 0

    def test_only_the_end_of_a_completed_message_is_sent(self) -> None:
        end = state(completes=True)
        for outgoing in (put(), state(), end):
            self.copies.add(outgoing, 0.0)
        assert self.copies.take_due(MAX_DEFERRAL_S) == [end]

    def test_body_is_kept_until_the_end_is_committed(self) -> None:
        body, end = put(), state(completes=True, committed=False)
        self.copies.add(body, 0.0)
        self.copies.add(end, 0.0)
        assert self.copies.take_due(MAX_COMMIT_WAIT_S[True]) == [end]
        assert self.copies.take_due(MAX_DEFERRAL_S) == [body]

    def test_body_and_newest_state_of_unfinished_message_are_sent(self) -> None:
        body, lease, requeued = put(), state(), state()
        for outgoing in (body, lease, requeued):
            self.copies.add(outgoing, 0.0)
        assert self.copies.take_due(MAX_DEFERRAL_S) == [body, requeued]

    def test_older_uncommitted_state_is_sent(self) -> None:
        lease, requeued = state(committed=False), state()
        self.copies.add(lease, 0.0)
        self.copies.add(requeued, 0.0)
        assert self.copies.take_due(MAX_COMMIT_WAIT) == [lease]
        assert self.copies.take_due(MAX_DEFERRAL_S) == [requeued]

    def test_end_sent_at_once_drops_deferred_records(self) -> None:
        self.copies.add(put(), 0.0)
        self.copies.add(state(), 0.0)
        self.copies.note_sent(state(completes=True))
        assert self.copies.take_due(MAX_DEFERRAL_S) == []
        assert len(self.copies) == 0

    def test_committed_confirmation_is_dropped(self) -> None:
        confirmation = Proposal(NO_KEY, b"", needs_sync=False, created_at=0.0)
        self.copies.add(OutgoingRecord(0, confirmation), 0.0)
        confirmation.is_committed = True
        assert self.copies.take_due(MAX_DEFERRAL_S) == []

    def test_equal_keys_in_two_partitions_are_independent(self) -> None:
        body = put()
        other = OutgoingRecord(1, state(completes=True).proposal)
        self.copies.add(body, 0.0)
        self.copies.add(other, 0.0)
        assert self.copies.take_due(MAX_DEFERRAL_S) == [body, other]

    def test_peer_receives_newest_state_and_needed_body(self) -> None:
        """In random sequences, the peer gets the newest state of each message, and its body if unfinished."""
        for seed in range(300):
            self._run_random_sequence(random.Random(seed))

    def _run_random_sequence(self, random_source: random.Random) -> None:
        copies, now = DeferredCopies(), 0.0
        sent: list[OutgoingRecord] = []
        history: dict[int, list[OutgoingRecord]] = {}
        for _ in range(60):
            now += random_source.uniform(0.0, 0.2)
            number = random_source.randrange(6)
            made = history.setdefault(number, [])
            if not made:
                made.append(put((1, number), committed=False))
            elif not made[-1].proposal.completes_message:
                ends = random_source.random() < 0.3
                made.append(state((1, number), committed=False, completes=ends))
            else:
                continue
            if random_source.random() < 0.3:
                copies.note_sent(made[-1])
                sent.append(made[-1])
            else:
                copies.add(made[-1], now)
            for records in history.values():
                for record in records:
                    record.proposal.is_committed |= random_source.random() < 0.4
            sent += copies.take_due(now)
        sent += copies.take_due(now + MAX_DEFERRAL_S)
        for records in history.values():
            newest = records[-1]
            assert newest in sent
            if not newest.proposal.completes_message:
                assert records[0] in sent
