"""Chooses the member updates piggybacked on messages: those sent the fewest times go first."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from itertools import count

from hollowusher.scheduler.rules.membership.messages import MemberUpdate, update_bytes

# Lambda in section 4.1 of SWIM: each member sends an update about lambda * log(group size) times.
RETRANSMIT_FACTOR = 4


class Gossip:
    """The queue of updates to piggyback on messages.

    The queue holds one update per name.  For a suspicion it holds one update per accuser, because each
    further accuser shortens the suspicion timeout.  A newer update replaces the older ones, and its count of
    transmissions starts at zero.
    """

    def __init__(self) -> None:
        self._updates: dict[str, dict[str, MemberUpdate]] = {}  # by name and accuser
        self._heap: list[
            tuple[int, int, str, MemberUpdate]
        ] = []  # times sent, insertion number (newest first), name, update
        self._order = count()

    def _is_current(self, update: MemberUpdate) -> bool:
        return self._updates.get(update.name, {}).get(update.by) is update

    def put(self, update: MemberUpdate) -> None:
        """Queues an update and removes those that it replaces."""
        queued = self._updates.setdefault(update.name, {})
        for old in list(queued.values()):
            if (old.process_id, old.incarnation, old.standing) != (
                update.process_id,
                update.incarnation,
                update.standing,
            ):
                del queued[old.by]
        queued[update.by] = update
        heapq.heappush(self._heap, (0, -next(self._order), update.name, update))

    def drop(self, name: str) -> None:
        """Removes all updates about a name."""
        self._updates.pop(name, None)

    def pick(
        self, capacity: int, members: int, first: Iterable[MemberUpdate] = ()
    ) -> tuple[MemberUpdate, ...]:
        """Returns the updates to send in `capacity` bytes, those in `first` before all others.

        Each update taken from the queue counts as sent once more.  The queue drops it after the number of
        transmissions that reaches all of `members` with high probability.
        """
        picked: dict[tuple[str, str], MemberUpdate] = {}
        for update in first:
            if (size := update_bytes(update)) <= capacity:
                picked[update.name, update.by], capacity = update, capacity - size
        max_sends = math.ceil(RETRANSMIT_FACTOR * math.log10(members + 1)) + 1
        requeued: list[tuple[int, int, str, MemberUpdate]] = []
        while (
            self._heap and capacity > 16
        ):  # no update with a random process id and a wall-clock incarnation is shorter
            sent, order, name, update = heapq.heappop(self._heap)
            if not self._is_current(update):
                continue  # replaced by a newer update, or dropped
            size = update_bytes(update)
            if (name, update.by) in picked or size > capacity:
                requeued.append((sent, order, name, update))
                if len(requeued) > 4:
                    break
                continue
            picked[name, update.by], capacity = update, capacity - size
            if sent + 1 < max_sends:
                requeued.append((sent + 1, order, name, update))
            else:
                del self._updates[name][update.by]
        for entry in requeued:
            heapq.heappush(self._heap, entry)
        return tuple(picked.values())

    def frozen(self) -> tuple[tuple[int, str, MemberUpdate], ...]:
        """Returns the queue as a hashable value for the model checker."""
        return tuple(
            sorted(
                ((s, n, w) for s, _, n, w in self._heap if self._is_current(w)),
                key=lambda t: (t[:2], t[2].by),
            )
        )
