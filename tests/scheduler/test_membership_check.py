"""Model checking of the membership protocol, also with protocol faults that the checker must find."""

from __future__ import annotations

import unittest

from msgspec.structs import replace

from hollowusher.scheduler.emulator.membership_check import check
from hollowusher.scheduler.rules.membership.member import Record, SwimMember
from hollowusher.scheduler.rules.membership.messages import MemberStatus, MemberUpdate


class AcceptsOwnDeath(SwimMember):
    """Accepts a report of its own death."""

    def _handle_update_about_self(self, now: int, update: MemberUpdate) -> None:
        if update.standing is MemberStatus.DEAD:
            self.me = replace(self.me, standing=MemberStatus.DEAD)


class NeverRefutes(SwimMember):
    """Never refutes a suspicion or a death."""

    def _handle_update_about_self(self, now: int, update: MemberUpdate) -> None:
        pass


class RefutesAtSameIncarnation(SwimMember):
    """Refutes at the same incarnation, which supersedes nothing."""

    def _handle_update_about_self(self, now: int, update: MemberUpdate) -> None:
        self.gossip.put(self.me)


class LowersIncarnation(SwimMember):
    """Lowers its own incarnation when it refutes."""

    def _handle_update_about_self(self, now: int, update: MemberUpdate) -> None:
        super()._handle_update_about_self(now, replace(update, incarnation=max(0, update.incarnation - 3)))
        if update.standing is not MemberStatus.ALIVE:
            self.me = replace(self.me, incarnation=update.incarnation - 1)


class DeathIsFinal(SwimMember):
    """Never revives a member that was declared dead."""

    def _update_record(self, now: int, record: Record, update: MemberUpdate, tentative: bool = False) -> None:
        if record.update.standing is not MemberStatus.DEAD:
            super()._update_record(now, record, update, tentative)


class IgnoresRefutations(SwimMember):
    """Ignores refutations of a death, whatever their incarnation."""

    def _apply_update(self, now: int, update: MemberUpdate) -> None:
        record = self.records.get(update.name)
        if (
            record is not None
            and update.standing is MemberStatus.ALIVE
            and record.update.standing is MemberStatus.DEAD
        ):
            return
        super()._apply_update(now, update)


FAULTS = (
    (AcceptsOwnDeath, "dead"),
    (NeverRefutes, "dead"),
    (RefutesAtSameIncarnation, "dead"),
    (LowersIncarnation, "doubted"),
    (DeathIsFinal, "dead"),
    (IgnoresRefutations, "dead"),
    (NeverRefutes, "again"),
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
