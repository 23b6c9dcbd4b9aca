"""The primary of a partition: ends, attempts, leases, call-backs, retention, and comparison with a model."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs
import pytest

from hollowusher.configuration.model import read_document
from hollowusher.messages import records
from hollowusher.messages.partition.active_messages import LeaseGrant, callback_service_name
from hollowusher.messages.partition.callback_jobs import CALLBACK_LEASE_S
from hollowusher.messages.partition.lease_metrics import LeaseMetrics
from hollowusher.messages.partition.message_leases import LeaseOptions
from hollowusher.messages.partition.partition_primary import PartitionPrimary, PrimaryOptions
from hollowusher.messages.partition.partition_table import CLOCK_MARGIN_MS, PartitionTable, RecordCache
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.records import LeaseId, MessageKey, MessageState, MessageStatus
from hollowusher.protocol.leases import FinishLease, LeaseRequest, LeaseUpdateResponse
from hollowusher.protocol.messages import MessageStatusResponse, NewMessage, PutResponse
from hollowusher.storage.interface import StorageError
from hollowusher.storage.memory import MemoryLog
from tests.support.message_store import EPOCH_MS, ROUTE, configuration, message

URL = "http://10.9.0.1:8080/done"
CALLBACKS = "callback:10.9.0.1:8080"
MOVED_ROUTE = {**ROUTE, "upstream": "new"}


def new_table(cache_bytes: int = 1_000_000) -> PartitionTable:
    return PartitionTable(0, MemoryLog(segments=256), RecordCache(cache_bytes), 60_000)


class Partition:
    """One partition at its primary; each proposal is committed at once unless `hold` is set."""

    def __init__(self, table: PartitionTable | None = None, epoch: int = 1, now: float = 100.0) -> None:
        self.now = now
        self.hold = False
        self.table = table or new_table()
        self.held: list[Proposal] = []
        self.lease_metrics = LeaseMetrics()
        leases = LeaseOptions(3_000, lambda: 0.5, self.lease_metrics)
        options = PrimaryOptions(read_document(configuration(1)), leases)
        self.primary = PartitionPrimary(self.table, epoch, options, now, self.wall_ms)

    @property
    def wall_ms(self) -> int:
        return EPOCH_MS + int(self.now * 1000)

    def commit(self) -> None:
        """Commit all outstanding proposals."""
        while self.held or self.primary.outbox:
            proposals, self.held, self.primary.outbox = self.held + self.primary.outbox, [], []
            for proposal in proposals:
                self.primary.commit(proposal, self.now, self.wall_ms)

    def on_primary_changed(self) -> None:
        if not self.hold:
            self.commit()

    def put(self, new: NewMessage) -> MessageKey:
        kept = self.primary.put(new, self.now, self.wall_ms)
        self.on_primary_changed()
        if isinstance(kept, Proposal):
            return kept.key
        parsed = records.parse_reference(kept.reference)
        assert parsed is not None
        return parsed[1]

    def lease(
        self, most: int = 1, service: str = "s", pull: bool = False, dispatcher: str = "e"
    ) -> list[LeaseGrant]:
        request = LeaseRequest(dispatcher, 1, service, most, 0, pull, 3_000 if pull else 0)
        grants = self.primary.lease(request, most, self.now, self.wall_ms)
        self.on_primary_changed()
        return grants

    def finish(self, grant: LeaseGrant, result: str, signature: str = "", retry_ms: int = 0) -> str:
        finish = FinishLease(grant.job.lease, result, signature, retry_ms)
        answer = self.primary.finish(lease_of(grant), finish, self.now, self.wall_ms)
        self.on_primary_changed()
        return answer.status if isinstance(answer, LeaseUpdateResponse) else "taken"

    def extend(self, grant: LeaseGrant) -> str:
        answer = self.primary.extend(lease_of(grant), self.now, self.wall_ms)
        self.on_primary_changed()
        return answer.status if isinstance(answer, LeaseUpdateResponse) else "taken"

    def sleep(self, seconds: float) -> None:
        """Advance the clock, and process each timer of the primary when it is due."""
        until = self.now + seconds
        while (due := self.primary.next_event_time()) is not None and due <= until:
            self.now = max(self.now, due)
            self.primary.advance(self.now, self.wall_ms)
            self.on_primary_changed()
        self.now = until

    def release_dispatchers(self, alive: Callable[[str, int], bool]) -> None:
        self.primary.release_dispatchers(alive, self.now, self.wall_ms)
        self.on_primary_changed()

    def configure(self, document: bytes) -> None:
        self.primary.configure(read_document(document), self.now, self.wall_ms)
        self.on_primary_changed()

    def status(self, key: MessageKey, body: bool = False) -> MessageStatusResponse:
        return self.primary.status(key, want_body=body)

    def taken_over(self) -> Partition:
        """Return the primary of the next epoch on the same table."""
        return Partition(self.table, self.primary.epoch + 1, self.now)


def lease_of(grant: LeaseGrant) -> LeaseId:
    lease = records.parse_lease_id(grant.job.lease)
    assert lease is not None
    return lease


class TestMessageEnds:
    def test_success_completes_with_its_signature(self) -> None:
        partition = Partition()
        key = partition.put(message("m1"))
        [grant] = partition.lease()
        assert partition.finish(grant, "success", "sig") == "taken"
        assert partition.status(key, body=True) == MessageStatusResponse("completed", "sig", None)

    def test_refused_message_is_dead_letter_with_body(self) -> None:
        partition = Partition()
        key = partition.put(message("m1"))
        [grant] = partition.lease()
        partition.finish(grant, "refused")
        assert partition.status(key, body=True) == MessageStatusResponse("dead_letter", "", b"m1")

    def test_only_failures_count_as_attempts(self) -> None:
        partition = Partition()
        key = partition.put(message("m1", max_attempts=2))
        for result in ("not_run", "unknown", "not_run", "failed", "unknown", "not_run", "failed"):
            assert partition.status(key).state == "queued"
            [grant] = partition.lease()
            partition.finish(grant, result)
            partition.sleep(3.0)
        assert partition.status(key).state == "dead_letter"
        assert partition.lease() == []

    def test_attempts_survive_takeover(self) -> None:
        partition = Partition()
        key = partition.put(message("m1", max_attempts=2))
        partition.finish(partition.lease()[0], "failed")
        partition = partition.taken_over()
        partition.sleep(3.0)
        [grant] = partition.lease()
        assert grant.job.attempt == 1
        partition.finish(grant, "failed")
        assert partition.status(key).state == "dead_letter"

    def test_retention_ends_a_waiting_message(self) -> None:
        partition = Partition()
        key = partition.put(message("m1", delay_ms=90_000, retention_ms=60_000))
        partition.sleep(59.9)
        assert partition.status(key).state == "queued"
        partition.sleep(0.2)
        assert partition.status(key).state == "dead_letter"
        partition.sleep(60)
        assert partition.lease() == []

    def test_retention_does_not_end_leased_message(self) -> None:
        partition = Partition()
        key = partition.put(message("m1", retention_ms=2_000))
        [grant] = partition.lease(pull=True)
        partition.sleep(2.5)
        assert partition.status(key).state == "queued"
        assert partition.finish(grant, "success", "sig") == "taken"
        assert partition.status(key).state == "completed"

    def test_retention_that_ends_during_lease_ends_message_after_it(self) -> None:
        partition = Partition()
        key = partition.put(message("m1", retention_ms=2_000))
        [grant] = partition.lease()
        partition.sleep(2.5)
        partition.finish(grant, "not_run")
        assert partition.status(key).state == "dead_letter"

    def test_retention_is_not_early_after_takeover(self) -> None:
        partition = Partition()
        key = partition.put(message("m1", retention_ms=10_000))
        partition.sleep(5.0)
        partition = partition.taken_over()
        partition.sleep(5.5)
        assert partition.status(key).state == "queued"
        partition.sleep(10.0)
        assert partition.status(key).state == "dead_letter"

    def test_end_takes_effect_only_after_commit(self) -> None:
        partition = Partition()
        partition.put(message("m1", ordering_key="k", callback_url=URL))
        partition.put(message("m2", ordering_key="k"))
        [grant] = partition.lease()
        partition.hold = True
        partition.finish(grant, "success")
        assert partition.lease(most=5) == []
        assert partition.lease(service=CALLBACKS) == []
        partition.commit()
        assert [grant.job.message.id for grant in partition.lease(most=5)] == ["m2"]
        assert len(partition.lease(service=CALLBACKS)) == 1


class TestRemovedRoutes:
    def test_removed_route_ends_message(self) -> None:
        partition = Partition()
        key = partition.put(message("m1", generation=1))
        partition.configure(configuration(2, routes=[]))
        assert partition.status(key, body=True) == MessageStatusResponse("dead_letter", "", b"m1")

    def test_message_of_newer_configuration_is_kept(self) -> None:
        partition = Partition()
        key = partition.put(message("m1", route="new", generation=2))
        partition.configure(configuration(1))
        assert partition.status(key).state == "queued"
        assert len(partition.lease()) == 1

    def test_leased_message_of_removed_route_ends_after_its_lease(self) -> None:
        partition = Partition()
        key = partition.put(message("m1"))
        [grant] = partition.lease()
        partition.configure(configuration(2, routes=[]))
        assert partition.status(key).state == "queued"
        partition.finish(grant, "unknown")
        assert partition.status(key).state == "dead_letter"

    def test_messages_of_removed_service_move_to_new_service_of_route(self) -> None:
        partition = Partition()
        partition.put(message("m1", service="old", ordering_key="k"))
        partition.configure(configuration(2))
        assert [grant.job.message.id for grant in partition.lease(service="s")] == ["m1"]


class TestLeases:
    def test_push_lease_expires_after_delivery_timeout(self) -> None:
        partition = Partition()
        partition.put(message("m1", timeout_ms=1_000))
        [grant] = partition.lease()
        partition.sleep(5.4)
        assert partition.lease() == []
        partition.sleep(0.2)
        [again] = partition.lease()
        assert partition.finish(grant, "success") == "gone"
        assert partition.finish(again, "success") == "taken"

    def test_pull_lease_expires_after_last_extension(self) -> None:
        partition = Partition()
        partition.put(message("m1"))
        [grant] = partition.lease(pull=True)
        for _ in range(5):
            partition.sleep(2.0)
            assert partition.extend(grant) == "taken"
        partition.sleep(3.2)
        assert partition.lease() == []
        partition.sleep(0.2)
        assert len(partition.lease()) == 1
        assert partition.extend(grant) == "gone"

    def test_result_of_expired_lease_is_accepted_while_job_is_not_leased(self) -> None:
        partition = Partition()
        key = partition.put(message("m1"))
        [grant] = partition.lease(pull=True)
        partition.sleep(4.0)
        assert partition.finish(grant, "success", "sig") == "taken"
        assert partition.status(key).state == "completed"
        assert partition.lease() == []

    def test_older_lease_is_gone_after_later_lease_has_finished(self) -> None:
        partition = Partition()
        partition.put(message("m1"))
        [first] = partition.lease(pull=True)
        partition.sleep(4.0)
        [second] = partition.lease(pull=True)
        assert partition.finish(second, "failed") == "taken"
        assert partition.finish(first, "success") == "gone"
        assert partition.finish(second, "failed") == "taken"
        assert partition.extend(first) == "gone"

    def test_success_after_mistaken_return_is_accepted(self) -> None:
        partition = Partition()
        key = partition.put(message("m1"))
        [grant] = partition.lease(pull=True)
        assert partition.finish(grant, "not_run") == "taken"
        assert partition.finish(grant, "success", "sig") == "taken"
        assert partition.status(key) == MessageStatusResponse("completed", "sig")
        assert partition.finish(grant, "not_run") == "gone"
        partition.sleep(5.0)
        assert partition.lease() == []

    def test_one_lease_counts_for_one_attempt(self) -> None:
        partition = Partition()
        key = partition.put(message("m1", max_attempts=2))
        [grant] = partition.lease(pull=True)
        for result in ("not_run", "failed", "not_run", "unknown", "failed"):
            assert partition.finish(grant, result) == "taken"
        assert partition.status(key).state == "queued"
        partition.sleep(3.0)
        [again] = partition.lease()
        assert again.job.attempt == 1

    def test_lease_with_lost_record_is_reinstated(self) -> None:
        partition = Partition()
        key = partition.put(message("m1"))
        bare = new_table()
        for record in partition.table.missing_records(partition.table.entries[key], None):
            bare.apply(record, partition.wall_ms)
        [grant] = partition.lease(pull=True)
        after = Partition(bare, epoch=2, now=partition.now)
        assert after.extend(grant) == "taken"
        assert after.lease() == []
        after.sleep(2.0)
        assert after.extend(grant) == "taken"
        assert after.finish(grant, "success", "sig") == "taken"
        assert after.status(key).state == "completed"

    def test_lease_survives_takeover(self) -> None:
        partition = Partition()
        partition.put(message("m1"))
        [grant] = partition.lease(pull=True)
        partition = partition.taken_over()
        partition.sleep(3.0)
        assert partition.lease() == []
        assert partition.extend(grant) == "taken"
        assert partition.finish(grant, "not_run") == "taken"
        assert partition.finish(grant, "not_run") == "taken"

    def test_lease_numbers_never_repeat_after_a_restart(self) -> None:
        partition = Partition()
        partition.put(message("m1"))
        bare = new_table()
        for entry in partition.table.entries.values():
            for record in partition.table.missing_records(entry, None):
                bare.apply(record, partition.wall_ms)
        [first] = partition.lease(pull=True)
        after = Partition(bare, epoch=1, now=partition.now + 0.5)
        [second] = after.lease(pull=True)
        assert first.job.lease != second.job.lease
        assert after.finish(first, "success") == "gone"

    def test_only_push_leases_of_dead_dispatchers_are_released(self) -> None:
        partition = Partition()
        for name in ("m1", "m2", "m3"):
            partition.put(message(name))
        partition.lease(dispatcher="gone")
        partition.lease(dispatcher="there")
        partition.lease(dispatcher="gone", pull=True)
        partition.release_dispatchers(lambda name, _: name != "gone")
        assert [grant.job.message.id for grant in partition.lease(most=5)] == ["m1"]

    def test_backoff_grows(self) -> None:
        partition = Partition()
        partition.put(message("m1", max_attempts=20))

        def wait_after(result: str) -> float:
            begun = partition.now
            while not (grants := partition.lease()):
                partition.sleep(0.01)
            on_result_accepted = partition.now - begun
            partition.finish(grants[0], result)
            return on_result_accepted

        failed = [wait_after("failed") for _ in range(9)][1:]
        assert failed == sorted(failed)
        assert failed[0] == pytest.approx(0.1, abs=0.02)
        assert failed[-1] == pytest.approx(2.0, abs=0.02)
        partition.sleep(5.0)
        not_run = [wait_after("not_run") for _ in range(12)][1:]
        assert not_run[0] == pytest.approx(0.05, abs=0.02)
        assert not_run[-1] == pytest.approx(1.0, abs=0.02)
        assert [wait_after("unknown") for _ in range(3)][2] == pytest.approx(0.2, abs=0.02)

    def test_requested_retry_delay_is_respected(self) -> None:
        partition = Partition()
        partition.put(message("m1"))
        partition.finish(partition.lease()[0], "not_run", retry_ms=4_000)
        partition.sleep(3.9)
        assert partition.lease() == []
        partition.sleep(0.2)
        assert len(partition.lease()) == 1


class TestPutting:
    def test_same_id_is_stored_once_across_takeovers(self) -> None:
        partition = Partition()
        key = partition.put(message("m1"))
        assert partition.put(message("m1")) == key
        partition = partition.taken_over()
        assert partition.put(message("m1")) == key
        partition.finish(partition.lease()[0], "success")
        partition = partition.taken_over()
        assert partition.put(message("m1")) == key
        assert partition.lease(most=5) == []

    def test_repeated_put_waits_for_the_same_commit(self) -> None:
        partition = Partition()
        partition.hold = True
        first = partition.primary.put(message("m1"), partition.now, partition.wall_ms)
        second = partition.primary.put(message("m1"), partition.now, partition.wall_ms)
        assert first is second
        assert partition.lease() == []
        partition.commit()
        third = partition.primary.put(message("m1"), partition.now, partition.wall_ms)
        assert isinstance(third, PutResponse)
        assert third.status == "stored"

    def test_message_put_at_two_primaries_runs_once(self) -> None:
        old = Partition()
        old.hold = True
        hidden = old.put(message("m1"))
        after = Partition(epoch=2)
        kept = after.put(message("m1"))
        for record in old.table.missing_records(old.table.entries[hidden], None):
            after.table.apply(record, after.wall_ms)
        after.primary.restore(hidden, after.now, after.wall_ms)
        after.commit()
        assert [lease_of(grant).key for grant in after.lease(most=5)] == [kept]

    def test_delay_is_not_early_after_takeover(self) -> None:
        partition = Partition()
        partition.put(message("m1", delay_ms=5_000))
        partition.sleep(2.0)
        partition = partition.taken_over()
        partition.sleep(2.9)
        assert partition.lease() == []
        partition.sleep(0.2)
        assert len(partition.lease()) == 1

    def test_uncached_body_is_read_from_log(self) -> None:
        partition = Partition(new_table(cache_bytes=10))
        key = partition.put(message("m1", body=b"x" * 1000))
        assert partition.table.entries[key].cached_put_record is None
        assert partition.status(key, body=True).body == b"x" * 1000
        assert partition.lease()[0].job.message.body == b"x" * 1000


class TestRateLimit:
    def test_bucket_starts_empty_and_spreads_leases(self) -> None:
        partition = Partition()
        partition.configure(configuration(2, s=10.0))
        for number in range(50):
            partition.put(message(f"m{number}"))
        assert partition.lease(most=50) == []
        assert not partition.primary.has_ready("s", partition.now)
        assert partition.primary.next_token_time("s", partition.now) == pytest.approx(partition.now + 1 / 9.7)
        partition.sleep(1.0)
        assert len(partition.lease(most=50)) == 1  # the bucket holds a burst of one token
        assert len(partition.lease(most=50)) == 0

    def test_service_without_rate_limit_does_not_wait(self) -> None:
        partition = Partition()
        partition.put(message("m1"))
        assert partition.primary.next_token_time("s", partition.now) is None
        assert partition.primary.has_ready("s", partition.now)


class TestCallBacks:
    def test_call_back_lease_expires(self) -> None:
        partition = Partition()
        partition.put(message("m1", callback_url=URL))
        partition.finish(partition.lease()[0], "success")
        [callback_job] = partition.lease(service=CALLBACKS)
        partition.sleep(CALLBACK_LEASE_S - 0.1)
        assert partition.lease(service=CALLBACKS) == []
        partition.sleep(0.2)
        [again] = partition.lease(service=CALLBACKS)
        assert partition.finish(callback_job, "failed") == "gone"
        assert partition.finish(again, "success") == "taken"
        assert partition.finish(again, "success") == "taken"

    def test_success_of_older_call_back_lease_is_accepted(self) -> None:
        partition = Partition()
        partition.put(message("m1", callback_url=URL))
        partition.finish(partition.lease()[0], "success")
        [callback_job] = partition.lease(service=CALLBACKS)
        partition = partition.taken_over()
        assert partition.finish(callback_job, "success") == "taken"
        assert partition.lease(service=CALLBACKS) == []
        assert partition.taken_over().lease(service=CALLBACKS) == []

    def test_call_back_of_dead_dispatcher_is_requeued(self) -> None:
        partition = Partition()
        partition.put(message("m1", callback_url=URL))
        partition.finish(partition.lease()[0], "success")
        partition.lease(service=CALLBACKS, dispatcher="gone")
        partition.release_dispatchers(lambda *_: False)
        assert len(partition.lease(service=CALLBACKS)) == 1

    def test_backoff_grows(self) -> None:
        partition = Partition()
        partition.put(message("m1", callback_url=URL))
        partition.finish(partition.lease()[0], "success")
        waits = []
        for _ in range(6):
            begun = partition.now
            while not (callback_job := partition.lease(service=CALLBACKS)):
                partition.sleep(0.01)
            waits.append(partition.now - begun)
            partition.finish(callback_job[0], "failed")
        assert waits == pytest.approx([0.0, 0.3, 0.6, 1.2, 2.4, 3.0], abs=0.02)

    def test_callback_service_names(self) -> None:
        assert callback_service_name("http://10.0.0.4:8080/path") == "callback:10.0.0.4:8080"
        assert callback_service_name("http://10.0.0.4/path") == "callback:10.0.0.4:80"
        assert callback_service_name("nonsense") == callback_service_name("http://h:x/") == ""


class TestRetentionOfEndedMessages:
    def test_ended_messages_are_dropped_after_retention(self) -> None:
        partition = Partition()
        log = partition.table._log
        assert isinstance(log, MemoryLog)
        empty = log.free_bytes()
        done, dead = partition.put(message("m1")), partition.put(message("m2"))
        waiting = partition.put(message("m3", delay_ms=100_000, retention_ms=900_000))
        first, second = partition.lease(most=2)
        partition.finish(first, "success")
        partition.finish(second, "refused")
        partition.sleep(60.0 + CLOCK_MARGIN_MS / 1000 - 1)
        assert partition.table.forget_expired(partition.wall_ms) == []
        partition.sleep(2.0)
        forgotten = partition.table.forget_expired(partition.wall_ms)
        partition.primary.forget(forgotten)
        assert sorted(forgotten) == [done, dead]
        states = [partition.status(key).state for key in (done, dead, waiting)]
        assert states == ["unknown", "unknown", "queued"]
        assert partition.put(message("m1")) != done
        log.release(partition.table.entries[waiting].put_position)  # type: ignore[arg-type]
        assert empty - log.free_bytes() < 300  # only the record of the new m1 is left

    def test_message_with_pending_call_back_is_kept(self) -> None:
        partition = Partition()
        key = partition.put(message("m1", callback_url=URL))
        partition.finish(partition.lease()[0], "success")
        partition.sleep(100.0)
        assert partition.table.forget_expired(partition.wall_ms) == []
        assert partition.status(key).state == "completed"
        [callback_job] = partition.lease(service=CALLBACKS)
        partition.finish(callback_job, "success")
        assert partition.table.forget_expired(partition.wall_ms) == [key]


class TestRecords:
    def test_put_and_state_survive_packing(self) -> None:
        put = records.AcceptedMessage(5, 6, 7, message("m1", headers=[["a", "b"]], body=bytes(range(256))))
        record = records.pack_put(3, (9, 1 << 60), put)
        assert records.unpack_header(record) == (records.RecordKind.PUT, 3, 9, 1 << 60)
        assert records.unpack_put(record) == put
        state = MessageState(
            (4, 5), MessageStatus.DEAD_LETTER, 2, 7, "e", 1, True, 3, 4, "failed", "", True, 9, "m1", URL
        )
        record = records.pack_state(3, (1, 2), state)
        assert records.unpack_state(record, records.unpack_header(record).version) == ((1, 2), state)

    def test_references_and_lease_ids(self) -> None:
        assert records.parse_reference(records.format_reference(3, (1, 2))) == (3, (1, 2))
        for nonsense in ("", "1-2", "1-2-x", "1-2-3-4", "-1-2-3", "1-2-³"):
            assert records.parse_reference(nonsense) is None
        for callback in (False, True):
            lease = records.format_lease_id(3, (1, 2), 4, is_callback=callback)
            assert records.parse_lease_id(lease) == LeaseId(3, (1, 2), 4, callback)
        for nonsense in ("", "1-2-3", "1-2-3-", "1-2-3-d4", "1-2-3-c"):
            assert records.parse_lease_id(nonsense) is None
        assert len(records.format_reference(4095, (10**6, 1 << 62))) <= 64


# Random scenarios, compared with a simple model


@attrs.define(eq=False)
class ModelMessage:
    """Model of one message, from the results that clients and workers have seen."""

    new: NewMessage
    key: MessageKey
    due: float
    stored: bool = False  # the put was acknowledged
    ended: bool = False  # a worker has reported a result that ends the message
    accepted_success: set[str] = attrs.Factory(set)  # signatures of the leases whose success was accepted
    failures_sent: set[str] = attrs.Factory(set)  # leases for which a worker reported a failure
    failures_accepted: set[str] = attrs.Factory(set)  # leases whose failure was acknowledged
    refused: bool = False  # a worker has refused the message
    refusal_accepted: bool = False  # the refusal was acknowledged
    holder: str = ""  # id of the lease that excludes other leases until `held_until`
    held_until: float = 0.0


class RandomScenario:
    """Three replicas with one primary, and a model of all requests and acknowledgements."""

    VISIBILITY_S = 3.0

    def __init__(self, seed: int) -> None:
        self.random_source = random.Random(seed)
        self.now = 100.0
        self.epoch = 0
        self.tables = [new_table() for _ in range(3)]
        self.messages: dict[MessageKey, ModelMessage] = {}
        self.leases: dict[str, ModelMessage] = {}
        self.in_flight: list[tuple[int, Proposal, int]] = []  # epoch, proposal, receiving replica
        self.primary_replica = 0
        self.primary = self.take_over(0)
        self.grants = 0

    @property
    def wall_ms(self) -> int:
        return EPOCH_MS + int(self.now * 1000)

    def take_over(self, primary_replica: int) -> PartitionPrimary:
        """Create a primary after it has exchanged records with one replica; the third is unreachable."""
        self.epoch += 1
        other = self.random_source.choice([number for number in range(3) if number != primary_replica])
        one, two = self.tables[primary_replica], self.tables[other]
        for source, target in ((two, one), (one, two)):
            found, _ = source.records_newer_than(target.bucket_versions(range(64)))
            for record in found:
                target.apply(record, self.wall_ms)
        assert one.bucket_digests() == two.bucket_digests()
        for _, proposal, _ in self.in_flight:
            proposal.resolve_waiters(committed=False)
        self.in_flight.clear()
        self.primary_replica = primary_replica
        options = PrimaryOptions(
            read_document(configuration(1)), LeaseOptions(3_000, self.random_source.random)
        )
        return PartitionPrimary(one, self.epoch, options, self.now, self.wall_ms)

    def collect(self) -> None:
        """Put the new proposals in flight to the other replicas."""
        for proposal in self.primary.outbox:
            for replica in range(3):
                if replica != self.primary_replica:
                    self.in_flight.append((self.epoch, proposal, replica))
        self.primary.outbox = []

    def deliver(self, share: float) -> None:
        """Deliver a random share of the records; the first replica besides the primary makes a quorum."""
        waiting, self.in_flight = self.in_flight, []
        self.random_source.shuffle(waiting)
        for entry in waiting:
            _, proposal, replica = entry
            if self.random_source.random() > share:
                self.in_flight.append(entry)
                continue
            if proposal.record:
                self.tables[replica].apply(proposal.record, self.wall_ms)
            if not proposal.is_committed:
                self.primary.commit(proposal, self.now, self.wall_ms)
                self.collect()

    def put(self) -> None:
        number = len(self.messages)
        known = [entry.new for entry in self.messages.values()]
        if known and self.random_source.random() < 0.1:
            new = self.random_source.choice(known)
        else:
            new = message(
                f"m{number}",
                ordering_key=self.random_source.choice(["", "", "a", "b"]),
                max_attempts=2,
                delay_ms=self.random_source.choice([0, 0, 0, 500]),
                priority=self.random_source.randrange(2),
                retention_ms=10_000_000,
            )
        kept = self.primary.put(new, self.now, self.wall_ms)
        if isinstance(kept, PutResponse):
            parsed = records.parse_reference(kept.reference)
            assert parsed is not None
            assert parsed[1] in self.messages
            return
        entry = self.messages.setdefault(
            kept.key, ModelMessage(new, kept.key, self.now + new.delay_ms / 1000)
        )
        kept.add_waiter(lambda committed: setattr(entry, "stored", entry.stored or committed))
        self.collect()

    def lease(self) -> None:
        request = LeaseRequest("e", 1, "s", 3, 0, True, 3_000)
        for grant in self.primary.lease(request, self.random_source.randint(1, 3), self.now, self.wall_ms):
            assert grant.proposal is not None
            grant.proposal.add_waiter(self.grant_waiter(grant))
        self.collect()

    def grant_waiter(self, grant: LeaseGrant) -> Callable[[bool], None]:
        def on_outcome(committed: bool) -> None:
            if committed and self.primary.is_grant_valid(grant):
                self.on_granted(grant)

        return on_outcome

    def on_granted(self, grant: LeaseGrant) -> None:
        """Check a grant: no other worker has the job, and no older message of its key is unfinished."""
        entry = self.messages[lease_of(grant).key]
        self.grants += 1
        assert grant.job.message == entry.new
        assert not entry.accepted_success
        assert not entry.refusal_accepted
        assert self.now >= entry.due - 0.002  # wall clocks have a resolution of one millisecond
        assert not entry.holder or self.now >= entry.held_until, "a second lease"
        assert len(entry.failures_accepted) <= grant.job.attempt <= len(entry.failures_sent)
        if entry.new.ordering_key:
            older = [
                other
                for other in self.messages.values()
                if other.new.ordering_key == entry.new.ordering_key and other.key < entry.key
            ]
            assert all(other.ended for other in older if other.stored), "out of order"
        entry.holder = grant.job.lease
        entry.held_until = self.now + self.VISIBILITY_S
        self.leases[grant.job.lease] = entry

    def finish(self) -> None:
        if not self.leases:
            return
        lease = self.random_source.choice(list(self.leases)[-12:])
        entry = self.leases[lease]
        result = self.random_source.choice(["success", "success", "failed", "refused", "not_run", "unknown"])
        parsed = records.parse_lease_id(lease)
        assert parsed is not None
        answer = self.primary.finish(
            parsed, FinishLease(lease, result, f"sig {lease}"), self.now, self.wall_ms
        )
        self.collect()
        if isinstance(answer, LeaseUpdateResponse) and answer.status == "gone":
            return
        last = len(entry.failures_sent | {lease}) >= entry.new.max_attempts
        entry.ended |= result in ("success", "refused") or (result == "failed" and last)
        entry.refused |= result == "refused"
        if result == "failed":
            entry.failures_sent.add(lease)
        if entry.holder == lease:
            entry.holder = ""
        if isinstance(answer, Proposal):
            answer.add_waiter(
                lambda committed: self.on_result_accepted(entry, lease, result) if committed else None
            )

    def on_result_accepted(self, entry: ModelMessage, lease: str, result: str) -> None:
        """Record the acknowledgement of a lease result."""
        if result == "failed":
            entry.failures_accepted.add(lease)
        entry.refusal_accepted |= result == "refused"
        if result == "success":
            entry.accepted_success.add(f"sig {lease}")
        assert len(entry.accepted_success) <= 1, "two leases both taken"

    def extend(self) -> None:
        if not self.leases:
            return
        lease = self.random_source.choice(list(self.leases)[-6:])
        entry = self.leases[lease]
        parsed = records.parse_lease_id(lease)
        assert parsed is not None
        answer = self.primary.extend(parsed, self.now, self.wall_ms)
        self.collect()
        if answer == LeaseUpdateResponse("taken"):
            entry.holder, entry.held_until = lease, self.now + self.VISIBILITY_S

    def pass_time(self) -> None:
        self.now += self.random_source.choice([0.01, 0.05, 0.3, 1.0])
        self.primary.advance(self.now, self.wall_ms)
        self.collect()

    def change_primary(self) -> None:
        self.primary = self.take_over(self.random_source.randrange(3))
        self.collect()

    def check_stored_messages(self) -> None:
        """Check that each acknowledged message exists, and is reported as ended only if it has ended."""
        for entry in self.messages.values():
            if not entry.stored:
                continue
            answer = self.primary.status(entry.key, want_body=True)
            assert answer.state != "unknown", "lost"
            if answer.state == "queued":
                assert answer.body == entry.new.body
                assert not entry.accepted_success
            elif answer.state == "completed":
                assert answer.signature.startswith("sig ")
                assert not entry.accepted_success or answer.signature in entry.accepted_success
            else:
                assert entry.refused or len(entry.failures_sent) >= entry.new.max_attempts


@pytest.mark.parametrize("seed", range(12))
def test_random_scenarios_keep_guarantees(seed: int) -> None:
    play = RandomScenario(seed)
    steps = [play.put, play.lease, play.finish] * 2 + [play.extend, play.pass_time]
    for number in range(1_500):
        play.random_source.choice(steps)()
        play.deliver(0.7)
        if number % 150 == 149 and play.random_source.random() < 0.7:
            play.change_primary()
        if number % 50 == 0:
            play.check_stored_messages()
    play.deliver(1.0)
    play.check_stored_messages()
    assert play.grants > 100


@pytest.mark.parametrize("seed", range(4))
def test_matches_reference_partition_without_faults(seed: int) -> None:
    """The primary leases the same message that a linear search of all messages selects."""
    random_source = random.Random(seed)
    partition = Partition()
    partition.configure(configuration(2, [{**ROUTE, "timeoutMs": 10_000_000}]))  # no lease expires
    model_entries: dict[MessageKey, ModelMessage] = {}
    out: list[LeaseGrant] = []
    for number in range(800):
        partition.sleep(random_source.random() * 0.05)
        step = random_source.random()
        if step < 0.4:
            new = message(
                f"m{number}",
                priority=random_source.randrange(3),
                max_attempts=99,
                retention_ms=10_000_000,
                ordering_key=random_source.choice(["", "a", "b"]),
                delay_ms=random_source.choice([0, 0, 200]),
                timeout_ms=10_000_000,
            )
            key = partition.put(new)
            due_ms = partition.wall_ms + new.delay_ms
            model_entries[key] = ModelMessage(
                new, key, partition.now + new.delay_ms / 1000, held_until=due_ms
            )
        elif step < 0.7:
            free = [
                entry
                for entry in model_entries.values()
                if not entry.holder
                and entry.due <= partition.now
                and not any(
                    other.key < entry.key
                    and entry.new.ordering_key
                    and other.new.ordering_key == entry.new.ordering_key
                    for other in model_entries.values()
                )
            ]
            free.sort(key=lambda entry: (entry.new.priority, entry.held_until, entry.key))
            grants = partition.lease()
            assert [lease_of(grant).key for grant in grants] == [entry.key for entry in free[:1]]
            for grant in grants:
                model_entries[lease_of(grant).key].holder = grant.job.lease
            out += grants
        elif out:
            grant = out.pop(random_source.randrange(len(out)))
            entry = model_entries[lease_of(grant).key]
            result = random_source.choice(["success", "refused", "not_run"])
            assert partition.finish(grant, result, retry_ms=1_500) == "taken"
            if result == "not_run":
                entry.holder, entry.due = "", partition.now + 1.5
            else:
                del model_entries[entry.key]


class TestFullDisk:
    """An operation that fails with a disk error is done later, and no message is lost."""

    def partition(self) -> tuple[Partition, MemoryLog]:
        partition = Partition()
        log = partition.table._log
        assert isinstance(log, MemoryLog)
        return partition, log

    def test_failed_lease_is_retried(self) -> None:
        partition, log = self.partition()
        partition.put(message("m1"))
        log.failing = "full"
        assert partition.lease() == []
        log.failing = ""
        partition.sleep(1.1)
        assert len(partition.lease()) == 1

    def test_failed_lease_result_can_be_repeated(self) -> None:
        partition, log = self.partition()
        key = partition.put(message("m1"))
        [grant] = partition.lease()
        log.failing = "full"
        with pytest.raises(StorageError):
            partition.finish(grant, "success", "sig")
        log.failing = ""
        assert partition.finish(grant, "success", "sig") == "taken"
        assert partition.status(key) == MessageStatusResponse("completed", "sig")

    def test_failed_lease_expiry_is_retried(self) -> None:
        partition, log = self.partition()
        partition.put(message("m1"))
        partition.lease(pull=True)
        log.failing = "full"
        partition.sleep(5.0)
        log.failing = ""
        partition.sleep(1.1)
        assert len(partition.lease()) == 1

    def test_failed_retention_end_is_retried(self) -> None:
        partition, log = self.partition()
        key = partition.put(message("m1", retention_ms=2_000))
        log.failing = "full"
        partition.sleep(5.0)
        assert partition.status(key).state == "queued"
        assert partition.lease() == []
        log.failing = ""
        partition.sleep(1.1)
        assert partition.status(key).state == "dead_letter"


class TestOlderConfiguration:
    """A store whose configuration is older than the one that a message was accepted under."""

    # Guards against: a message that runs at its route's former service because its store learns late of it.
    def test_message_of_a_newer_configuration_waits_for_its_own_service(self) -> None:
        partition = Partition()
        partition.put(message("a", service="new", generation=2))
        assert partition.lease() == []
        assert partition.lease(service="new") == []
        assert not partition.primary.has_ready("new", partition.now)
        partition.configure(configuration(2, [MOVED_ROUTE]))
        assert partition.primary.has_ready("new", partition.now)
        assert "new" in partition.primary.queue.newly_ready_services
        assert [grant.job.message.id for grant in partition.lease(service="new")] == ["a"]

    # Guards against: jobs of a service that are leased without its rate limit, which the store does not know.
    def test_service_of_a_newer_configuration_is_not_leased_before_its_rate_limit_is_known(self) -> None:
        partition = Partition()
        for number in range(50):
            partition.put(message(f"m{number}", service="new", generation=2))
        assert partition.lease(most=50, service="new") == []
        partition.configure(configuration(2, [MOVED_ROUTE], new=10.0))
        assert partition.lease(most=50, service="new") == []
        partition.sleep(1.0)
        assert 1 <= len(partition.lease(most=50, service="new")) <= 10

    def test_message_of_a_removed_service_follows_its_route(self) -> None:
        partition = Partition()
        partition.put(message("a", service="gone", generation=1))
        assert [grant.job.message.id for grant in partition.lease()] == ["a"]
