"""The news that ride on messages: what was sent the fewest times goes first."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from itertools import count

from hollowusher.scheduler.rules.membership.messages import MemberUpdate, news_bytes

SPREAD = 4  # lambda of SWIM's section 4.1: times log of the members that one news is sent by each


class Gossip:
    """One news a name, and of a suspicion one an accuser, since each brings the death nearer: a newer one
    takes the older ones' place and starts anew."""

    def __init__(self) -> None:
        self._news: dict[str, dict[str, MemberUpdate]] = {}  # by name and accuser
        self._heap: list[tuple[int, int, str, MemberUpdate]] = []  # times sent, newest first, name
        self._order = count()

    def _reported(self, news: MemberUpdate) -> bool:
        return self._news.get(news.name, {}).get(news.by) is news

    def put(self, news: MemberUpdate) -> None:
        """Have it told from now on."""
        reported = self._news.setdefault(news.name, {})
        for old in list(reported.values()):
            if (old.process_id, old.incarnation, old.standing) != (
                news.process_id,
                news.incarnation,
                news.standing,
            ):
                del reported[old.by]
        reported[news.by] = news
        heapq.heappush(self._heap, (0, -next(self._order), news.name, news))

    def drop(self, name: str) -> None:
        """Tell nothing more of this name."""
        self._news.pop(name, None)

    def pick(
        self, capacity: int, members: int, first: Iterable[MemberUpdate] = ()
    ) -> tuple[MemberUpdate, ...]:
        """What fits into so many bytes, `first` before all else.  Each counts as sent once more, and is
        forgotten once all must have heard it."""
        picked: dict[tuple[str, str], MemberUpdate] = {}
        for news in first:
            if (size := news_bytes(news)) <= capacity:
                picked[news.name, news.by], capacity = news, capacity - size
        most = math.ceil(SPREAD * math.log10(members + 1)) + 1
        again: list[tuple[int, int, str, MemberUpdate]] = []
        while self._heap and capacity > 16:  # no news is shorter
            sent, order, name, news = heapq.heappop(self._heap)
            if not self._reported(news):
                continue  # a newer one stands in the heap, or none is told
            size = news_bytes(news)
            if (name, news.by) in picked or size > capacity:
                again.append((sent, order, name, news))
                if len(again) > 4:
                    break
                continue
            picked[name, news.by], capacity = news, capacity - size
            if sent + 1 < most:
                again.append((sent + 1, order, name, news))
            else:
                del self._news[name][news.by]
        for entry in again:
            heapq.heappush(self._heap, entry)
        return tuple(picked.values())

    def frozen(self) -> tuple[tuple[int, str, MemberUpdate], ...]:
        """What it holds, for a model check."""
        return tuple(
            sorted(
                ((s, n, w) for s, _, n, w in self._heap if self._reported(w)), key=lambda t: (t[:2], t[2].by)
            )
        )
