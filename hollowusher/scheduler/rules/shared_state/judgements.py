"""What others have seen of a node, as a prior to what one has seen oneself.

Each member keeps a score of a node: a bad end adds one, a good end takes a half away, and a bad end after
good ones starts from nought; it fades by halves.  Others' scores count for at most one each and at most so
many together, own ones for more: so one that lies, is broken, or sits behind a cut moves little, two that
have seen a node fail hold it bad for all who know nothing better, and own good ends outweigh them.  Whom the
sum holds bad is still tried, by one member at a time.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec import Struct

from hollowusher.balancing.interface import Outcome

HALF_NS = 3_000_000_000  # in which a score fades by half
GOOD_HALF_NS = 700_000_000  # and one for a node, sooner: what was good may have failed since
LAPSE_NS = 10_000_000_000  # and after which another's is forgotten
LEAST, MOST = -2.0, 4.0  # of a score
GOOD = 0.5  # what a good end takes away
OWN = 1.5  # weight of one's own score
MEMBER_MOST, OTHERS_MOST = 1.0, 3.0  # of another's, and of all others' together
BAD = 1.9  # from which a node counts as bad: by two others' word, by one's and an own bad end, by two own
TRIAL_NS = 1_000_000_000
MAX_NODES = 4_096


# Ends that tell something of the node: a refusal or an attempt that never went out does not.
_BAD_ENDS = {Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.UNREACHABLE}


def node_evidence(outcome: Outcome) -> bool | None:
    """Whether an attempt's end speaks for its node; None where it says nothing of it."""
    return True if outcome is Outcome.OK else False if outcome in _BAD_ENDS else None


class NodeObservation(Struct, frozen=True, array_like=True, tag="J"):
    """A member's score of a node when it says so.  `seq` grows."""

    member: str
    incarnation: int
    seq: int
    node: str
    score: float


@dataclass(slots=True)
class _Score:
    value: float = 0.0
    at: int = 0
    seq: tuple[int, int] = (0, 0)

    def aged(self, now: int) -> float:
        half = HALF_NS if self.value > 0 else GOOD_HALF_NS
        return self.value * math.exp2(-max(0, now - self.at) / half)


@dataclass(slots=True)
class _Node:
    own: _Score = field(default_factory=_Score)
    others: dict[str, _Score] = field(default_factory=dict)
    said: float = 0.0
    said_at: int = 0


class NodeScores:
    """One member's view of the nodes."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.name, self.incarnation = name, incarnation
        self._nodes: dict[str, _Node] = {}
        self._seq = 0
        self.refused = 0

    def record_end(self, now: int, node: str, good: bool) -> None:
        """An attempt of our own has ended."""
        own = self._nodes.setdefault(node, _Node()).own
        score = own.aged(now)
        own.value = max(LEAST, score - GOOD) if good else min(MOST, max(0.0, score) + 1.0)
        own.at = now

    def reset_node(self, node: str) -> None:
        """It is another process: what was seen of the last one says nothing."""
        self._nodes.pop(node, None)

    def receive(self, now: int, seen: NodeObservation) -> bool:
        """Another's word; whether it was new.  Nonsense is counted and skipped."""
        if seen.member == self.name:
            return False
        full = seen.node not in self._nodes and len(self._nodes) >= MAX_NODES
        if full or not LEAST <= seen.score <= MOST:
            self.refused += 1
            return False
        held = self._nodes.setdefault(seen.node, _Node()).others.setdefault(seen.member, _Score())
        if (seen.incarnation, seen.seq) <= held.seq:
            return False
        held.value, held.at, held.seq = seen.score, now, (seen.incarnation, seen.seq)
        return True

    def weight(self, now: int, node: str) -> float:
        """All that is known against a node, on balance."""
        known = self._nodes.get(node)
        if known is None:
            return 0.0
        others = sum(
            max(-MEMBER_MOST, min(MEMBER_MOST, held.aged(now)))
            for held in known.others.values()
            if now - held.at <= LAPSE_NS
        )
        return OWN * known.own.aged(now) + max(-OTHERS_MOST, min(OTHERS_MOST, others))

    def bad(self, now: int, node: str) -> bool:
        """Whether a node counts as bad here."""
        return self.weight(now, node) >= BAD

    def has_trial_turn(self, wall: int, node: str, present: Iterable[str]) -> bool:
        """Whether the one trial of this second (by the wall clock, in ns) at a bad node is ours: one over the
        whole fleet, as far as clocks and views agree."""
        turn = wall // TRIAL_NS
        rank = {m: zlib.crc32(f"{node}/{turn}/{m}".encode()) for m in present}
        return self.name == max(rank, key=lambda m: (rank[m], m), default=self.name)

    def pending_observations(self, now: int, most: int) -> list[NodeObservation]:
        """What is worth telling: scores that have moved furthest since they were told, bad ones first, and
        those that hold on before they lapse."""
        worth: list[tuple[float, str, float]] = []
        for name, node in self._nodes.items():
            score = node.own.aged(now)
            moved = abs(score - node.said) * (4.0 if score > 0 else 1.0)
            if moved > 0.7 or (abs(score) > 0.7 and now - node.said_at > LAPSE_NS // 3):
                worth.append((moved, name, score))
        reported = []
        for _, name, score in sorted(worth, reverse=True)[:most]:
            node = self._nodes[name]
            node.said, node.said_at = score, now
            self._seq += 1
            reported.append(NodeObservation(self.name, self.incarnation, self._seq, name, round(score, 2)))
        return reported

    def report(self, now: int) -> dict[str, dict[str, object]]:
        """Each node that anything is known of."""
        return {
            name: {
                "bad": self.bad(now, name),
                "weight": round(self.weight(now, name), 2),
                "own": round(node.own.aged(now), 2),
                "told_by": {
                    m: round(h.aged(now), 2) for m, h in node.others.items() if now - h.at <= LAPSE_NS
                },
            }
            for name, node in self._nodes.items()
        }
