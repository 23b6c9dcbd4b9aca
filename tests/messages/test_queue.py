"""The order of leases: priorities, delays, ordering keys, rate limits and late messages."""

from __future__ import annotations

import random
from typing import Any

import pytest

from hollowusher.messages.partition.message_queue import (
    LATE_LEASE_INTERVAL,
    MessageQueue,
    QueuedMessage,
    QueueStage,
)
from hollowusher.messages.partition.token_bucket import TokenBucket


def queued(
    number: int, priority: int = 0, due_wall_ms: int = 0, key: str = "", service: str = "s"
) -> QueuedMessage:
    return QueuedMessage((1, number), service, priority, due_wall_ms, key)


def add(
    queue: MessageQueue, message: QueuedMessage, ready_at: float = 0.0, now: float = 0.0
) -> QueuedMessage:
    queue.add(message)
    queue.release(message, ready_at, now)
    return message


class TestOrder:
    def test_by_priority_then_due_time_then_acceptance(self) -> None:
        queue = MessageQueue()
        for message in (queued(1, 1), queued(2, 0, 20), queued(3, 0, 10), queued(4, 0, 10)):
            add(queue, message)
        assert [queue.lease_next("s").key[1] for _ in range(4)] == [3, 4, 2, 1]  # type: ignore[union-attr]
        assert queue.lease_next("s") is None

    def test_returned_message_precedes_later_ones(self) -> None:
        queue = MessageQueue()
        first = add(queue, queued(1, due_wall_ms=1))
        add(queue, queued(2, due_wall_ms=2))
        assert queue.lease_next("s") is first
        queue.release(first, 0.0, 0.0)
        assert queue.lease_next("s") is first

    def test_services_have_separate_queues(self) -> None:
        queue = MessageQueue()
        add(queue, queued(1, service="a"))
        assert queue.lease_next("b") is None
        assert queue.ready_services() == ["a"]

    def test_uncommitted_message_is_not_leased(self) -> None:
        queue = MessageQueue()
        message = queued(1)
        queue.add(message)
        assert queue.lease_next("s") is None
        queue.release(message, 0.0, 0.0)
        assert queue.lease_next("s") is message

    def test_suspended_message_is_not_leased(self) -> None:
        queue = MessageQueue()
        message = add(queue, queued(1))
        queue.suspend(message)
        assert queue.lease_next("s") is None


class TestDelay:
    def test_delayed_message_is_not_leased_early(self) -> None:
        queue = MessageQueue()
        message = add(queue, queued(1), ready_at=5.0)
        queue.advance(4.999)
        assert queue.lease_next("s") is None
        assert queue.next_event_time() == 5.0
        queue.advance(5.0)
        assert queue.newly_ready_services == {"s"}
        assert queue.lease_next("s") is message

    def test_a_removed_message_leaves_no_timer(self) -> None:
        queue = MessageQueue()
        message = add(queue, queued(1), ready_at=5.0)
        queue.remove(message, 0.0)
        assert queue.next_event_time() is None
        queue.advance(6.0)
        assert queue.lease_next("s") is None


class TestOrderingKeys:
    def test_messages_of_one_key_are_leased_one_at_a_time_in_order(self) -> None:
        queue = MessageQueue()
        messages = [add(queue, queued(number, key="k")) for number in range(3)]
        for message in messages:
            assert queue.lease_next("s") is message
            assert queue.lease_next("s") is None
            queue.remove(message, 0.0)

    def test_delayed_message_blocks_later_ones_of_its_key(self) -> None:
        queue = MessageQueue()
        first = add(queue, queued(1, key="k"), ready_at=5.0)
        second = add(queue, queued(2, key="k"))
        assert queue.lease_next("s") is None
        queue.advance(5.0)
        assert queue.lease_next("s") is first
        queue.release(
            first, 9.0, 5.0
        )  # after a failure the first message waits again and still blocks the second
        assert queue.lease_next("s") is None
        queue.advance(9.0)
        assert queue.lease_next("s") is first
        queue.remove(first, 9.0)
        assert queue.lease_next("s") is second

    def test_delay_of_second_message_applies_after_first_has_ended(self) -> None:
        queue = MessageQueue()
        first = add(queue, queued(1, key="k"))
        second = add(queue, queued(2, key="k"), ready_at=5.0)
        queue.lease_next("s")
        queue.remove(first, 1.0)
        assert queue.lease_next("s") is None
        queue.advance(5.0)
        assert queue.lease_next("s") is second

    def test_uncommitted_message_blocks_later_ones_of_its_key(self) -> None:
        queue = MessageQueue()
        first = queued(1, key="k")
        queue.add(first)
        add(queue, queued(2, key="k"))
        assert queue.lease_next("s") is None
        queue.release(first, 0.0, 0.0)
        assert queue.lease_next("s") is first

    def test_older_message_added_later_goes_first(self) -> None:
        queue = MessageQueue()
        later = add(queue, queued(5, key="k"))
        older = add(queue, queued(2, key="k"))
        assert queue.lease_next("s") is older
        assert queue.lease_next("s") is None
        queue.remove(older, 0.0)
        assert queue.lease_next("s") is later

    def test_other_keys_are_not_blocked(self) -> None:
        queue = MessageQueue()
        add(queue, queued(1, key="k"), ready_at=9.0)
        other = add(queue, queued(2, key="l"))
        foreign = add(queue, queued(3, key="m", service="t"))
        assert queue.lease_next("s") is other
        assert queue.lease_next("t") is foreign

    # Guards against: later messages of a key that start while earlier ones wait for a route's former service.
    def test_messages_of_one_key_are_ordered_across_services(self) -> None:
        queue = MessageQueue()
        first = add(queue, queued(1, key="k", service="s"))
        second = add(queue, queued(2, key="k", service="t"))
        assert queue.lease_next("t") is None
        assert queue.lease_next("s") is first
        assert queue.lease_next("t") is None
        queue.release(first, 5.0, 1.0)
        assert queue.lease_next("t") is None
        queue.remove(first, 2.0)
        assert queue.newly_ready_services >= {"t"}
        assert queue.lease_next("t") is second

    def test_message_that_changes_its_service_keeps_its_place(self) -> None:
        queue = MessageQueue()
        first = add(queue, queued(1, key="k", service="s"))
        second = add(queue, queued(2, key="k", service="t"), ready_at=3.0)
        queue.change_service(first, "t", 1.0)
        queue.advance(4.0)
        assert queue.lease_next("s") is None
        assert queue.lease_next("t") is first
        assert queue.lease_next("t") is None
        queue.remove(first, 4.0)
        assert queue.lease_next("t") is second

    def test_delay_of_a_later_message_does_not_release_it_before_an_older_one_that_is_restored(self) -> None:
        queue = MessageQueue()
        later = add(queue, queued(5, key="k"), ready_at=3.0)
        older = add(queue, queued(2, key="k"), ready_at=9.0)
        queue.advance(4.0)
        assert queue.lease_next("s") is None
        queue.advance(9.0)
        assert queue.lease_next("s") is older
        queue.remove(older, 9.0)
        assert queue.lease_next("s") is later


class ReferenceQueue:
    """Reference implementation of the queue rules by linear search."""

    def __init__(self) -> None:
        self.messages: list[dict[str, Any]] = []

    def candidates(self, service: str, now: float) -> list[dict[str, Any]]:
        free = []
        for entry in self.messages:
            blocked = entry["key"] and any(
                other["key"] == entry["key"] and other["number"] < entry["number"] for other in self.messages
            )
            if (
                entry["service"] == service
                and entry["stage"] == "queued"
                and entry["ready_at"] <= now
                and not blocked
            ):
                free.append(entry)
        return sorted(free, key=lambda entry: (entry["priority"], entry["due"], entry["number"]))


@pytest.mark.parametrize("seed", range(6))
def test_matches_reference_queue(seed: int) -> None:
    random_source = random.Random(seed)
    queue, reference = MessageQueue(), ReferenceQueue()
    real: dict[int, QueuedMessage] = {}
    now = 0.0
    for number in range(1_500):
        now += random_source.random() * 0.1
        queue.advance(now)
        step = random_source.random()
        if step < 0.4:
            entry: dict[str, Any] = {
                "number": number,
                "priority": random_source.randrange(3),
                "due": random_source.randrange(50),
                "key": random_source.choice(["", "", "a", "b", "c"]),
                "service": random_source.choice("st"),
                "stage": "queued",
                "ready_at": now + random_source.choice([0.0, 0.0, random_source.random()]),
            }
            reference.messages.append(entry)
            real[number] = queued(
                number, entry["priority"], entry["due"], entry["key"], service=entry["service"]
            )
            add(queue, real[number], entry["ready_at"], now)
        elif step < 0.45:
            waiting = [entry for entry in reference.messages if entry["stage"] == "queued"]
            if waiting:
                entry = random_source.choice(waiting)
                entry["service"] = random_source.choice("st")
                queue.change_service(real[entry["number"]], entry["service"], now)
        elif step < 0.7:
            service = random_source.choice("st")
            expected = reference.candidates(service, now)
            assert queue.ready_count(service) == len(expected)
            taken = queue.lease_next(service)
            assert (taken.key[1] if taken else None) == (expected[0]["number"] if expected else None)
            if taken is not None:
                expected[0]["stage"] = "leased"
        else:
            leased = [entry for entry in reference.messages if entry["stage"] == "leased"]
            if not leased:
                continue
            entry = random_source.choice(leased)
            if random_source.random() < 0.6:
                reference.messages.remove(entry)
                queue.remove(real[entry["number"]], now)
            else:
                entry["stage"], entry["ready_at"] = "queued", now + random_source.random() * 0.3
                queue.release(real[entry["number"]], entry["ready_at"], now)
    assert sum(message.stage is not QueueStage.REMOVED for message in real.values()) == len(
        reference.messages
    )


class TestTokenBucket:
    def test_starts_empty(self) -> None:
        assert TokenBucket(100.0, 0.0).available(0.0) == 0

    def test_grants_stay_below_the_rate_in_any_window(self) -> None:
        random_source = random.Random(3)
        bucket = TokenBucket(19.5, 0.0)
        grants: list[float] = []
        now = 0.0
        while now < 60.0:
            now += random_source.expovariate(30.0) if random_source.random() < 0.99 else 3.0
            for _ in range(bucket.available(now)):
                bucket.consume()
                grants.append(now)
        for start in grants:
            assert sum(start <= grant < start + 5.0 for grant in grants) <= 19.5 * 5.0

    def test_grants_reach_nearly_the_full_rate(self) -> None:
        bucket, now, grants = TokenBucket(10.0, 0.0), 0.0, 0
        while now < 100.0:
            now = bucket.next_token_at(now)
            assert bucket.available(now) >= 1
            bucket.consume()
            grants += 1
        assert grants >= 960

    def test_rate_below_one_per_second_grants_single_token(self) -> None:
        bucket = TokenBucket(0.5, 0.0)
        assert bucket.next_token_at(0.0) == pytest.approx(1 / 0.485)
        assert bucket.available(2.1) == 1

    def test_changed_rate_applies_from_the_change_on(self) -> None:
        bucket = TokenBucket(1.0, 0.0)
        bucket.change_rate(100.0, 0.0)
        assert bucket.available(0.1) == 9


class TestLateMessages:
    """After an outage, messages that can still start in time are leased before those that are late."""

    def released(self, queue: MessageQueue, number: int, at: float) -> QueuedMessage:
        """Add and return a message with a start target of one second that is ready at this time."""
        message = QueuedMessage((1, number), "s", 0, round(at * 1000), "", start_target_s=1.0)
        queue.add(message)
        queue.release(message, at, at)
        return message

    def test_late_messages_are_leased_after_those_in_time(self) -> None:
        queue = MessageQueue()
        late = [self.released(queue, number, 0.0) for number in range(3)]
        in_time = self.released(queue, 9, 5.0)
        queue.advance(5.0)
        assert queue.peek("s") is in_time
        assert [queue.lease_next("s") for _ in range(4)] == [in_time, *late]
        assert queue.lease_next("s") is None

    def test_late_message_is_leased_at_the_late_lease_interval(self) -> None:
        queue = MessageQueue()
        late = self.released(queue, 1, 0.0)
        for number in range(2, 20):
            self.released(queue, number, 5.0)
        queue.advance(5.0)
        taken = [queue.lease_next("s") for _ in range(LATE_LEASE_INTERVAL)]
        assert taken.index(late) == LATE_LEASE_INTERVAL - 1

    def test_lateness_counts_from_first_release(self) -> None:
        queue = MessageQueue()
        message = self.released(queue, 1, 0.0)
        assert queue.lease_next("s") is message
        queue.release(message, 3.0, 3.0)
        newer = self.released(queue, 2, 3.0)
        assert queue.lease_next("s") is newer
        assert queue.lease_next("s") is message

    def test_message_without_start_target_is_never_late(self) -> None:
        queue = MessageQueue()
        old = QueuedMessage((1, 1), "s", 0, 0)
        queue.add(old)
        queue.release(old, 0.0, 0.0)
        newer = self.released(queue, 2, 500.0)
        queue.advance(500.0)
        assert [queue.lease_next("s"), queue.lease_next("s")] == [old, newer]
