"""The news that ride on messages: what was sent the fewest times goes first."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from itertools import count

from hollowusher.scheduler.rules.membership.messages import News, news_bytes

SPREAD = 4  # lambda of SWIM's section 4.1: times log of the members that one news is sent by each


class Gossip:
    """One news a name, and of a suspicion one an accuser, since each brings the death nearer: a newer one
    takes the older ones' place and starts anew."""

    def __init__(self) -> None:
        self._news: dict[str, dict[str, News]] = {}  # by name and accuser
        self._heap: list[tuple[int, int, str, News]] = []  # times sent, newest first, name
        self._order = count()

    def _told(self, news: News) -> bool:
        return self._news.get(news.name, {}).get(news.by) is news

    def put(self, news: News) -> None:
        """Have it told from now on."""
        told = self._news.setdefault(news.name, {})
        for old in list(told.values()):
            if (old.life, old.incarnation, old.standing) != (news.life, news.incarnation, news.standing):
                del told[old.by]
        told[news.by] = news
        heapq.heappush(self._heap, (0, -next(self._order), news.name, news))

    def drop(self, name: str) -> None:
        """Tell nothing more of this name."""
        self._news.pop(name, None)

    def pick(self, room: int, members: int, first: Iterable[News] = ()) -> tuple[News, ...]:
        """What fits into so many bytes, `first` before all else.  Each counts as sent once more, and is
        forgotten once all must have heard it."""
        picked: dict[tuple[str, str], News] = {}
        for news in first:
            if (size := news_bytes(news)) <= room:
                picked[news.name, news.by], room = news, room - size
        most = math.ceil(SPREAD * math.log10(members + 1)) + 1
        again: list[tuple[int, int, str, News]] = []
        while self._heap and room > 16:  # no news is shorter
            sent, order, name, news = heapq.heappop(self._heap)
            if not self._told(news):
                continue  # a newer one stands in the heap, or none is told
            size = news_bytes(news)
            if (name, news.by) in picked or size > room:
                again.append((sent, order, name, news))
                if len(again) > 4:
                    break
                continue
            picked[name, news.by], room = news, room - size
            if sent + 1 < most:
                again.append((sent + 1, order, name, news))
            else:
                del self._news[name][news.by]
        for entry in again:
            heapq.heappush(self._heap, entry)
        return tuple(picked.values())

    def frozen(self) -> tuple[tuple[int, str, News], ...]:
        """What it holds, for a model check."""
        return tuple(
            sorted(((s, n, w) for s, _, n, w in self._heap if self._told(w)), key=lambda t: (t[:2], t[2].by))
        )
