"""Node scores: each member combines its own failures with a node and the failures that other members report.

Each member keeps a score per node.  A failed attempt adds 1, a successful one subtracts 0.5, and a failure
after successes starts from 0.  The score decays exponentially.  The score of another member counts for at
most MAX_MEMBER_SCORE and all others together for at most MAX_OTHERS_SCORE; a member's own score has more
weight.  A member that is faulty, sends false scores or is behind a network partition therefore has little
influence.  If two members have seen a node fail, all members without evidence of their own treat it as bad,
but a member's own successes outweigh those reports.  A bad node still gets trial jobs, from one member at a
time.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec import Struct

from hollowusher.balancing.interface import Outcome

HALF_LIFE_NS = 3_000_000_000  # half-life of a positive score, which counts against the node
GOOD_HALF_LIFE_NS = 700_000_000  # half-life of a negative score: a good node may fail at any time
EXPIRY_NS = 10_000_000_000  # age after which another member's score is ignored
MIN_SCORE, MAX_SCORE = -2.0, 4.0  # range of a score
SUCCESS_CREDIT = 0.5  # subtracted from the score by a successful attempt
OWN_WEIGHT = 1.5  # weight of a member's own score
MAX_MEMBER_SCORE, MAX_OTHERS_SCORE = 1.0, 3.0  # limits for one other member, and for all others
BAD_THRESHOLD = 1.9  # two other members' reports, a report and an own failure, or two own failures
TRIAL_NS = 1_000_000_000  # length of a turn for trial jobs
MAX_NODES = 4_096


# Failures that count against the node; a rejected job or an attempt that was never sent does not.
_BAD_ENDS = {Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.UNREACHABLE}


def node_evidence(outcome: Outcome) -> bool | None:
    """Return whether an outcome is evidence for (True) or against (False) the node, or None for neither."""
    return True if outcome is Outcome.OK else False if outcome in _BAD_ENDS else None


class NodeObservation(Struct, frozen=True, array_like=True, tag="J"):
    """A member's score of a node at the time of sending; `seq` increases with each message of the member."""

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

    def decayed(self, now: int) -> float:
        half = HALF_LIFE_NS if self.value > 0 else GOOD_HALF_LIFE_NS
        return self.value * math.exp2(-max(0, now - self.at) / half)


@dataclass(slots=True)
class _Node:
    own: _Score = field(default_factory=_Score)
    others: dict[str, _Score] = field(default_factory=dict)
    sent_score: float = 0.0
    sent_at: int = 0


class NodeScores:
    """One member's own scores of the nodes, and the scores that the other members have sent."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.name, self.incarnation = name, incarnation
        self._nodes: dict[str, _Node] = {}
        self._seq = 0
        self.refused = 0

    def record_end(self, now: int, node: str, good: bool) -> None:
        """Update this member's own score of a node after an attempt has ended."""
        own = self._nodes.setdefault(node, _Node()).own
        score = own.decayed(now)
        own.value = max(MIN_SCORE, score - SUCCESS_CREDIT) if good else min(MAX_SCORE, max(0.0, score) + 1.0)
        own.at = now

    def reset_node(self, node: str) -> None:
        """Drop all scores of a node that has been replaced by a new process."""
        self._nodes.pop(node, None)

    def receive(self, now: int, observation: NodeObservation) -> bool:
        """Store another member's score; return whether it was new.  Invalid ones are counted and ignored."""
        if observation.member == self.name:
            return False
        full = observation.node not in self._nodes and len(self._nodes) >= MAX_NODES
        if full or not MIN_SCORE <= observation.score <= MAX_SCORE:
            self.refused += 1
            return False
        held = self._nodes.setdefault(observation.node, _Node()).others.setdefault(
            observation.member, _Score()
        )
        if (observation.incarnation, observation.seq) <= held.seq:
            return False
        held.value, held.at, held.seq = observation.score, now, (observation.incarnation, observation.seq)
        return True

    def weight(self, now: int, node: str) -> float:
        """Return the weighted sum of all scores of a node; positive values count against it."""
        known = self._nodes.get(node)
        if known is None:
            return 0.0
        others = sum(
            max(-MAX_MEMBER_SCORE, min(MAX_MEMBER_SCORE, held.decayed(now)))
            for held in known.others.values()
            if now - held.at <= EXPIRY_NS
        )
        return OWN_WEIGHT * known.own.decayed(now) + max(-MAX_OTHERS_SCORE, min(MAX_OTHERS_SCORE, others))

    def bad(self, now: int, node: str) -> bool:
        """Return whether this member treats a node as bad."""
        return self.weight(now, node) >= BAD_THRESHOLD

    def has_trial_turn(self, wall: int, node: str, present: Iterable[str]) -> bool:
        """Return whether this member may send the trial job of the current turn to a bad node.

        `wall` is the wall-clock time in nanoseconds.  Rendezvous hashing selects one member per turn, so the
        cluster sends one trial per second as long as the members' clocks and membership views agree.
        """
        turn = wall // TRIAL_NS
        rank = {m: zlib.crc32(f"{node}/{turn}/{m}".encode()) for m in present}
        return self.name == max(rank, key=lambda m: (rank[m], m), default=self.name)

    def pending_observations(self, now: int, most: int) -> list[NodeObservation]:
        """Return up to `most` scores to send.

        Scores that changed most since they were last sent come first, and bad scores take precedence.  Large
        unchanged scores are sent again before they expire at the receivers.
        """
        candidates: list[tuple[float, str, float]] = []
        for name, node in self._nodes.items():
            score = node.own.decayed(now)
            change = abs(score - node.sent_score) * (4.0 if score > 0 else 1.0)
            if change > 0.7 or (abs(score) > 0.7 and now - node.sent_at > EXPIRY_NS // 3):
                candidates.append((change, name, score))
        observations = []
        for _, name, score in sorted(candidates, reverse=True)[:most]:
            node = self._nodes[name]
            node.sent_score, node.sent_at = score, now
            self._seq += 1
            observations.append(
                NodeObservation(self.name, self.incarnation, self._seq, name, round(score, 2))
            )
        return observations

    def report(self, now: int) -> dict[str, dict[str, object]]:
        """Return the scores of every known node, for the status report."""
        return {
            name: {
                "bad": self.bad(now, name),
                "weight": round(self.weight(now, name), 2),
                "own": round(node.own.decayed(now), 2),
                "told_by": {
                    m: round(h.decayed(now), 2) for m, h in node.others.items() if now - h.at <= EXPIRY_NS
                },
            }
            for name, node in self._nodes.items()
        }
