"""The model check of membership holds to a small depth, and finds each fault planted in the protocol."""

from __future__ import annotations

import unittest

from msgspec.structs import replace

from hollowusher.scheduler.emulator.membership_check import check
from hollowusher.scheduler.rules.membership.member import Record, SwimMember
from hollowusher.scheduler.rules.membership.messages import MemberStatus, MemberUpdate


class Resigned(SwimMember):
    """Hears that it is held dead, and believes it."""

    def _handle_update_about_self(self, now: int, news: MemberUpdate) -> None:
        if news.standing is MemberStatus.DEAD:
            self.me = replace(self.me, standing=MemberStatus.DEAD)


class Mute(SwimMember):
    """Never says otherwise."""

    def _handle_update_about_self(self, now: int, news: MemberUpdate) -> None:
        pass


class Meek(SwimMember):
    """Answers its accuser at the same incarnation, which beats nothing."""

    def _handle_update_about_self(self, now: int, news: MemberUpdate) -> None:
        self.gossip.put(self.me)


class Backward(SwimMember):
    """Answers with a lower incarnation than it had."""

    def _handle_update_about_self(self, now: int, news: MemberUpdate) -> None:
        super()._handle_update_about_self(now, replace(news, incarnation=max(0, news.incarnation - 3)))
        if news.standing is not MemberStatus.ALIVE:
            self.me = replace(self.me, incarnation=news.incarnation - 1)


class Final(SwimMember):
    """Once dead is dead for good."""

    def _update_record(self, now: int, record: Record, news: MemberUpdate, tentative: bool = False) -> None:
        if record.update.standing is not MemberStatus.DEAD:
            super()._update_record(now, record, news, tentative)


class Spiteful(SwimMember):
    """Counts whoever accused last as right, whatever the incarnation."""

    def _apply_update(self, now: int, news: MemberUpdate) -> None:
        record = self.records.get(news.name)
        if (
            record is not None
            and news.standing is MemberStatus.ALIVE
            and record.update.standing is MemberStatus.DEAD
        ):
            return
        super()._apply_update(now, news)


FAULTS = (
    (Resigned, "dead"),
    (Mute, "dead"),
    (Meek, "dead"),
    (Backward, "doubted"),
    (Final, "dead"),
    (Spiteful, "dead"),
    (Mute, "again"),
)


class ModelCheck(unittest.TestCase):
    def test_every_order_to_a_small_depth(self) -> None:
        for start, least in (("well", 400), ("doubted", 300), ("dead", 300), ("again", 300)):
            seen, unsettled = check(4, start)
            self.assertEqual([(f.why, f.path) for f in seen.findings], [], start)
            self.assertEqual(len(unsettled), 0, start)
            self.assertGreater(seen.states, least, start)

    def test_each_planted_fault_is_found(self) -> None:
        for fault, start in FAULTS:
            seen, unsettled = check(3, start, kind=fault)
            self.assertTrue(seen.findings or unsettled, (fault.__name__, start))
