"""The order in which messages leave: priorities, delays, ordering keys, ceilings."""

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

    def test_a_message_given_back_goes_before_later_ones(self) -> None:
        queue = MessageQueue()
        first = add(queue, queued(1, due_wall_ms=1))
        add(queue, queued(2, due_wall_ms=2))
        assert queue.lease_next("s") is first
        queue.release(first, 0.0, 0.0)
        assert queue.lease_next("s") is first

    def test_services_do_not_mix(self) -> None:
        queue = MessageQueue()
        add(queue, queued(1, service="a"))
        assert queue.lease_next("b") is None
        assert queue.ready_services() == ["a"]

    def test_uncommitted_messages_do_not_leave(self) -> None:
        queue = MessageQueue()
        message = queued(1)
        queue.add(message)
        assert queue.lease_next("s") is None
        queue.release(message, 0.0, 0.0)
        assert queue.lease_next("s") is message

    def test_a_held_message_does_not_leave(self) -> None:
        queue = MessageQueue()
        message = add(queue, queued(1))
        queue.suspend(message)
        assert queue.lease_next("s") is None


class TestDelay:
    def test_never_before_its_time(self) -> None:
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
    def test_one_at_a_time_in_the_order_of_acceptance(self) -> None:
        queue = MessageQueue()
        messages = [add(queue, queued(number, key="k")) for number in range(3)]
        for message in messages:
            assert queue.lease_next("s") is message
            assert queue.lease_next("s") is None
            queue.remove(message, 0.0)

    def test_a_delayed_one_holds_back_the_later_ones(self) -> None:
        queue = MessageQueue()
        first = add(queue, queued(1, key="k"), ready_at=5.0)
        second = add(queue, queued(2, key="k"))
        assert queue.lease_next("s") is None
        queue.advance(5.0)
        assert queue.lease_next("s") is first
        queue.release(first, 9.0, 5.0)  # failed: it waits again, and so does the second
        assert queue.lease_next("s") is None
        queue.advance(9.0)
        assert queue.lease_next("s") is first
        queue.remove(first, 9.0)
        assert queue.lease_next("s") is second

    def test_a_later_delay_counts_after_the_first_has_ended(self) -> None:
        queue = MessageQueue()
        first = add(queue, queued(1, key="k"))
        second = add(queue, queued(2, key="k"), ready_at=5.0)
        queue.lease_next("s")
        queue.remove(first, 1.0)
        assert queue.lease_next("s") is None
        queue.advance(5.0)
        assert queue.lease_next("s") is second

    def test_an_uncommitted_one_holds_back_the_later_ones(self) -> None:
        queue = MessageQueue()
        first = queued(1, key="k")
        queue.add(first)
        add(queue, queued(2, key="k"))
        assert queue.lease_next("s") is None
        queue.release(first, 0.0, 0.0)
        assert queue.lease_next("s") is first

    def test_an_older_one_that_turns_up_late_goes_first(self) -> None:
        queue = MessageQueue()
        later = add(queue, queued(5, key="k"))
        older = add(queue, queued(2, key="k"))
        assert queue.lease_next("s") is older
        assert queue.lease_next("s") is None
        queue.remove(older, 0.0)
        assert queue.lease_next("s") is later

    def test_keys_of_other_services_and_other_keys_are_free(self) -> None:
        queue = MessageQueue()
        add(queue, queued(1, key="k"), ready_at=9.0)
        other = add(queue, queued(2, key="l"))
        foreign = add(queue, queued(3, key="k", service="t"))
        assert queue.lease_next("s") is other
        assert queue.lease_next("t") is foreign


class PlainQueue:
    """The same rules without any index: a list that is searched each time."""

    def __init__(self) -> None:
        self.messages: list[dict[str, Any]] = []

    def candidates(self, now: float) -> list[dict[str, Any]]:
        free = []
        for entry in self.messages:
            blocked = entry["key"] and any(
                other["key"] == entry["key"] and other["number"] < entry["number"] for other in self.messages
            )
            if entry["stage"] == "queued" and entry["ready_at"] <= now and not blocked:
                free.append(entry)
        return sorted(free, key=lambda entry: (entry["priority"], entry["due"], entry["number"]))


@pytest.mark.parametrize("seed", range(6))
def test_agrees_with_a_plain_queue(seed: int) -> None:
    chance = random.Random(seed)
    queue, plain = MessageQueue(), PlainQueue()
    real: dict[int, QueuedMessage] = {}
    now = 0.0
    for number in range(1_500):
        now += chance.random() * 0.1
        queue.advance(now)
        step = chance.random()
        if step < 0.4:
            entry: dict[str, Any] = {
                "number": number,
                "priority": chance.randrange(3),
                "due": chance.randrange(50),
                "key": chance.choice(["", "", "a", "b", "c"]),
                "stage": "queued",
                "ready_at": now + chance.choice([0.0, 0.0, chance.random()]),
            }
            plain.messages.append(entry)
            real[number] = queued(number, entry["priority"], entry["due"], entry["key"])
            add(queue, real[number], entry["ready_at"], now)
        elif step < 0.7:
            expected = plain.candidates(now)
            taken = queue.lease_next("s")
            assert (taken.key[1] if taken else None) == (expected[0]["number"] if expected else None)
            if taken is not None:
                expected[0]["stage"] = "leased"
        else:
            leased = [entry for entry in plain.messages if entry["stage"] == "leased"]
            if not leased:
                continue
            entry = chance.choice(leased)
            if chance.random() < 0.6:
                plain.messages.remove(entry)
                queue.remove(real[entry["number"]], now)
            else:
                entry["stage"], entry["ready_at"] = "queued", now + chance.random() * 0.3
                queue.release(real[entry["number"]], entry["ready_at"], now)
    assert sum(message.stage is not QueueStage.REMOVED for message in real.values()) == len(plain.messages)


class TestTokenBucket:
    def test_starts_empty(self) -> None:
        assert TokenBucket(100.0, 0.0).available(0.0) == 0

    def test_grants_a_little_under_the_rate_in_any_window(self) -> None:
        chance = random.Random(3)
        bucket = TokenBucket(19.5, 0.0)
        grants: list[float] = []
        now = 0.0
        while now < 60.0:
            now += chance.expovariate(30.0) if chance.random() < 0.99 else 3.0
            for _ in range(bucket.available(now)):
                bucket.consume()
                grants.append(now)
        for start in grants:
            assert sum(start <= grant < start + 5.0 for grant in grants) <= 19.5 * 5.0

    def test_is_used_nearly_completely(self) -> None:
        bucket, now, grants = TokenBucket(10.0, 0.0), 0.0, 0
        while now < 100.0:
            now = bucket.next_token_at(now)
            assert bucket.available(now) >= 1
            bucket.consume()
            grants += 1
        assert grants >= 960

    def test_a_slow_service_gets_its_single_grant(self) -> None:
        bucket = TokenBucket(0.5, 0.0)
        assert bucket.next_token_at(0.0) == pytest.approx(1 / 0.485)
        assert bucket.available(2.1) == 1

    def test_another_rate_counts_from_then_on(self) -> None:
        bucket = TokenBucket(1.0, 0.0)
        bucket.change_rate(100.0, 0.0)
        assert bucket.available(0.1) == 9


class TestLateMessages:
    """After an outage: what can still begin in time goes before what is late."""

    def released(self, queue: MessageQueue, number: int, at: float) -> QueuedMessage:
        """A message with an aim of one second, ready at a time."""
        message = QueuedMessage((1, number), "s", 0, round(at * 1000), "", start_target_s=1.0)
        queue.add(message)
        queue.release(message, at, at)
        return message

    def test_the_backlog_goes_after_what_is_in_time(self) -> None:
        queue = MessageQueue()
        late = [self.released(queue, number, 0.0) for number in range(3)]
        in_time = self.released(queue, 9, 5.0)
        queue.advance(5.0)
        assert queue.peek("s") is in_time
        assert [queue.lease_next("s") for _ in range(4)] == [in_time, *late]
        assert queue.lease_next("s") is None

    def test_a_late_message_gets_its_turn_among_many_in_time(self) -> None:
        queue = MessageQueue()
        late = self.released(queue, 1, 0.0)
        for number in range(2, 20):
            self.released(queue, number, 5.0)
        queue.advance(5.0)
        taken = [queue.lease_next("s") for _ in range(LATE_LEASE_INTERVAL)]
        assert taken.index(late) == LATE_LEASE_INTERVAL - 1

    def test_a_message_given_back_is_late_by_its_first_release(self) -> None:
        queue = MessageQueue()
        message = self.released(queue, 1, 0.0)
        assert queue.lease_next("s") is message
        queue.release(message, 3.0, 3.0)
        newer = self.released(queue, 2, 3.0)
        assert queue.lease_next("s") is newer
        assert queue.lease_next("s") is message

    def test_without_an_aim_nothing_is_late(self) -> None:
        queue = MessageQueue()
        old = QueuedMessage((1, 1), "s", 0, 0)
        queue.add(old)
        queue.release(old, 0.0, 0.0)
        newer = self.released(queue, 2, 500.0)
        queue.advance(500.0)
        assert [queue.lease_next("s"), queue.lease_next("s")] == [old, newer]
