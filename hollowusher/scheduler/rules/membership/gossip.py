"""The update that ride on messages: what was sent the fewest times goes first."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from itertools import count

from hollowusher.scheduler.rules.membership.messages import MemberUpdate, update_bytes

RETRANSMIT_FACTOR = (
    4  # lambda of SWIM's section 4.1: times log of the members that one update is sent by each
)


class Gossip:
    """One update a name, and of a suspicion one an accuser, since each brings the death nearer: a newer one
    takes the older ones' place and starts anew."""

    def __init__(self) -> None:
        self._updates: dict[str, dict[str, MemberUpdate]] = {}  # by name and accuser
        self._heap: list[tuple[int, int, str, MemberUpdate]] = []  # times sent, newest first, name
        self._order = count()

    def _is_current(self, update: MemberUpdate) -> bool:
        return self._updates.get(update.name, {}).get(update.by) is update

    def put(self, update: MemberUpdate) -> None:
        """Have it told from now on."""
        reported = self._updates.setdefault(update.name, {})
        for old in list(reported.values()):
            if (old.process_id, old.incarnation, old.standing) != (
                update.process_id,
                update.incarnation,
                update.standing,
            ):
                del reported[old.by]
        reported[update.by] = update
        heapq.heappush(self._heap, (0, -next(self._order), update.name, update))

    def drop(self, name: str) -> None:
        """Tell nothing more of this name."""
        self._updates.pop(name, None)

    def pick(
        self, capacity: int, members: int, first: Iterable[MemberUpdate] = ()
    ) -> tuple[MemberUpdate, ...]:
        """What fits into so many bytes, `first` before all else.  Each counts as sent once more, and is
        forgotten once all must have heard it."""
        picked: dict[tuple[str, str], MemberUpdate] = {}
        for update in first:
            if (size := update_bytes(update)) <= capacity:
                picked[update.name, update.by], capacity = update, capacity - size
        max_sends = math.ceil(RETRANSMIT_FACTOR * math.log10(members + 1)) + 1
        requeued: list[tuple[int, int, str, MemberUpdate]] = []
        while self._heap and capacity > 16:  # no update is shorter
            sent, order, name, update = heapq.heappop(self._heap)
            if not self._is_current(update):
                continue  # a newer one stands in the heap, or none is told
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
        """What it holds, for a model check."""
        return tuple(
            sorted(
                ((s, n, w) for s, _, n, w in self._heap if self._is_current(w)),
                key=lambda t: (t[:2], t[2].by),
            )
        )
