"""Log replication: the protocol under random and planted faults, job state, takeover, storage and frames."""

from __future__ import annotations

import asyncio
import copy
import random
import tempfile
import time
import unittest
from collections import Counter
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from hollowusher.balancing import Outcome
from hollowusher.scheduler.dispatch.model import (
    AttemptEnded,
    CancelAttempt,
    ClientJob,
    Dispatch,
    DispatchCommand,
    DispatchEvent,
    JobAttempt,
)
from hollowusher.scheduler.dispatch.worker_registry import WorkerRegistry
from hollowusher.scheduler.emulator import log_replication_check as copies_check
from hollowusher.scheduler.emulator.job_replication import CLASSES, JobReplicationNetwork
from hollowusher.scheduler.emulator.log_replication import ReplicationNetwork, RuleBroken, S, storm
from hollowusher.scheduler.emulator.log_replication_check import (
    REPLICAS,
    SETTINGS,
    find,
    find_in_jobs,
    jobs_storm,
)
from hollowusher.scheduler.emulator.log_replication_model import check
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.log_replication.admission import ReplicationAdmission
from hollowusher.scheduler.net.log_replication.node import CopiesNode
from hollowusher.scheduler.net.log_replication.settings import COPIES, COPY, CopiesConfig, read_copies
from hollowusher.scheduler.net.log_replication.storage import MAGIC, FolderStorage, MemberFiles, parse
from hollowusher.scheduler.net.log_replication.wire import Frames, frame
from hollowusher.scheduler.rules.log_replication.groups import group_of, owners_held_by
from hollowusher.scheduler.rules.log_replication.job_replication import (
    ReplicationAction,
    ReplicationInstruction,
)
from hollowusher.scheduler.rules.log_replication.log_replicas import LogReplicas
from hollowusher.scheduler.rules.log_replication.messages import Append, LearnRequest, LogEntry
from hollowusher.scheduler.rules.log_replication.pace import ReplicationTiming
from hollowusher.scheduler.rules.log_replication.records import (
    AnswerRecord,
    AttemptEndRecord,
    Forgotten,
    Intent,
    JobLogState,
    JobTakenRecord,
    LoggedJob,
    Record,
    pack,
    unpack,
)
from hollowusher.scheduler.rules.log_replication.replica import PersistentState, Replica, Role, Store
from hollowusher.scheduler.rules.log_replication.takeover import AttemptLimits, NextStep, allowed, next_step
from hollowusher.scheduler.settings.model import ConfigError
from hollowusher.scheduler.settings.reader import read_text
from tests.support.standins import free_port

MS = 1_000_000


class Storms(unittest.TestCase):
    def test_committed_entries_survive_and_a_leader_exists(self) -> None:
        for seed in range(4):
            for at, setting in enumerate(SETTINGS):
                with self.subTest(seed=seed, setting=at):
                    net = ReplicationNetwork(setting["size"], seed, storage=setting["storage"])
                    storm(net, 30, seed, setting["disks"], setting["most_down"], bool(seed % 2))
                    self.assertIsNotNone(net.leader(), net.reported[-3:])
                    self.assertEqual(net.lost(), [])
                    self.assertGreater(len(net.promised), 1)

    def test_each_planted_fault_of_the_protocol_is_found(self) -> None:
        for make in REPLICAS:
            with self.subTest(make.__name__):
                self.assertTrue(find(make, 20)[0])

    def test_jobs_run_once_and_have_one_answer(self) -> None:
        net = JobReplicationNetwork(5, 1)
        jobs_storm(net, 25, 1)
        self.assertEqual(net.faults(), [])
        self.assertGreater(net.figures()["served"], 0.6)

    def test_each_planted_fault_around_jobs_is_found(self) -> None:
        for fault in (
            copies_check.IntentAfter,
            copies_check.TellsFirst,
            copies_check.TakesTwice,
            copies_check.BothLook,
            copies_check.NeverLooks,
        ):
            with self.subTest(fault.__name__):
                self.assertTrue(find_in_jobs(replication=fault)[0])
        self.assertTrue(find_in_jobs(replicas=copies_check.SendsAgain)[0])


class EveryOrder(unittest.TestCase):
    def check_diverging_logs(self, make: type[Replica], found: bool) -> None:
        seen = check(5, make, begin="torn", most_losses=0)
        self.assertEqual(bool(seen.findings), found, make.__name__)
        self.assertGreater(seen.states, 2_000)

    def test_no_committed_entry_is_lost_with_diverging_logs(self) -> None:
        self.check_diverging_logs(Replica, False)

    def test_commit_without_majority_is_found(self) -> None:
        self.check_diverging_logs(copies_check.CommitByOne, True)

    def test_vote_for_outdated_candidate_is_found(self) -> None:
        self.check_diverging_logs(copies_check.AnyVote, True)


class HardCases(unittest.TestCase):
    def net(self, size: int = 3, **words: object) -> ReplicationNetwork:
        net = ReplicationNetwork(size, 1, **words)  # type: ignore[arg-type]
        net.run(4 * S)
        return net

    def fill(self, net: ReplicationNetwork, count: int = 10) -> None:
        for number in range(count):
            net.propose(f"e{number}".encode())
            net.run(net.now + S // 20)

    def test_isolated_leader_loses_its_lease_and_another_takes_over(self) -> None:
        net = self.net()
        lead = net.leader()
        assert lead is not None
        for other in net.names:
            net.cut(lead.name, other, 20 * S)
            net.cut(other, lead.name, 20 * S)
        net.run(net.now + S)
        self.assertFalse(lead.can_write(net._clock(net.copies[lead.name])))
        net.run(net.now + 3 * S)
        new = net.leader()
        assert new is not None
        self.assertNotEqual(new.name, lead.name)
        self.assertIsNot(lead.role, Role.LEADER)  # pending writes of the old leader must fail

    def test_no_leader_after_three_of_five_replicas_lose_their_state(self) -> None:
        net = self.net(5)
        self.fill(net)
        for name in ("n1", "n2", "n3"):
            net.crash(name)
        net.run(net.now + S)
        for name in ("n1", "n2", "n3"):
            net.start(name)
        net.run(net.now + 20 * S)
        self.assertIsNone(net.leader())  # no replica can know all committed entries, so none may lead
        self.assertEqual(net.began_anew, 5)  # at the first start only, once per replica

    def test_log_is_not_recreated_while_a_learner_holds_entries(self) -> None:
        net = self.net()
        self.fill(net)
        net.crash("n1")
        net.start("n1")
        for other in ("n0", "n2"):  # n1 receives entries but cannot acknowledge them
            net.cut("n1", other, 30 * S)
        net.run(net.now + S // 10)
        net.cuts.clear()
        net.run(net.now + S // 10)
        taught = net.copies["n1"].replica
        assert taught is not None
        # The state of n1 as if its leader had failed before the recovery ended.
        taught.role, taught._storage_trusted = Role.LEARNER, False
        for name in ("n0", "n2"):
            net.crash(name)
            net.start(name)
        net.run(net.now + 10 * S)
        self.assertIsNone(net.leader())
        self.assertEqual(net.began_anew, 3)  # at the first start only, once per replica

    def test_old_disk_image_is_detected_by_the_start_counts_of_others(self) -> None:
        for make in (Replica, copies_check.ImageTrusted):
            net = self.net(storage=True, make=make)
            net.crash("n1")
            net.start("n1", "image")  # saves an image of the disk after the first run
            net.run(net.now + 3 * S)
            net.cut("n0", "n2", 100 * S)
            net.cut("n2", "n0", 100 * S)
            self.fill(net)
            net.crash("n0")
            net.crash("n1")
            net.start("n1", "old")
            if make is Replica:
                net.run(net.now + 10 * S)
                self.assertIsNone(net.leader())  # the only complete replica left has no majority
                self.assertTrue(any("old image" in what for _, _, what in net.reported))
            else:
                with self.assertRaises(RuleBroken):
                    net.run(net.now + 10 * S)

    def test_lost_disk_is_not_mistaken_for_an_old_image_later(self) -> None:
        net = self.net(storage=True)
        for disk in ("kept", "kept", "kept", "none", "kept", "kept"):
            net.crash("n2")
            net.run(net.now + S // 2)
            net.start("n2", disk)
            net.run(net.now + 3 * S)
            again = net.copies["n2"].replica
            assert again is not None
            self.assertIsNot(again.role, Role.LEARNER, disk)
        self.assertFalse([what for _, _, what in net.reported if "old image" in what])

    def test_group_changes_one_member_at_a_time(self) -> None:
        net = self.net(5)
        lead = net.leader()
        assert lead is not None
        now = net._clock(net.copies[lead.name])
        rest = tuple(n for n in net.names if n != "n4")
        self.assertEqual(lead.propose(now, [], rest[:-1]), 0)  # removes two members at once
        self.assertGreater(lead.propose(now, [], rest), 0)
        self.assertEqual(lead.propose(now, [], (*rest, "n4")), 0)  # the first change is not committed yet
        net._after(net.copies[lead.name])
        net.run(net.now + 2 * S)
        groups = {c.replica.group for c in net.copies.values() if c.replica and c.name != "n4"}
        self.assertEqual(groups, {rest})
        net.crash("n3")
        self.fill(net)
        self.assertEqual(len(net.promised), 10)  # three of four replicas are a majority

    def test_lagging_replica_catches_up_by_snapshot(self) -> None:
        net = self.net()
        net.crash("n2")
        self.fill(net)
        lead = net.leader()
        assert lead is not None
        lead.compact(bytes(100_000))
        net._after(net.copies[lead.name])
        net.start("n2")
        net.run(net.now + 3 * S)
        late = net.copies["n2"].replica
        assert late is not None
        self.assertEqual((late.commit, len(late.kept.image)), (lead.commit, 100_000))

    def test_leadership_returns_to_the_owner(self) -> None:
        net = self.net()
        net.crash("n0")
        net.run(net.now + 4 * S)
        other = net.leader()
        assert other is not None
        self.assertNotEqual(other.name, "n0")
        net.start("n0")
        net.run(net.now + 2 * S)
        back = net.copies["n0"].replica
        assert back is not None
        back.hand_back(net._clock(net.copies["n0"]))
        net._after(net.copies["n0"])
        net.run(net.now + S)
        lead = net.leader()
        self.assertEqual(lead and lead.name, "n0")


class SingleReplica(unittest.TestCase):
    """A scheduler without others, so that each record is committed at once."""

    def setUp(self) -> None:
        self.replicas = LogReplicas("n1", ["n1"], 1, ReplicationTiming(), random.Random(1), 0, CLASSES)
        self.now = 0
        self.to(3 * S)
        self.assertTrue(self.replicas.can_write(self.now))

    def to(self, now: int) -> None:
        while self.now < now:
            self.now += S // 10
            self.replicas.step(self.now, self.now // MS)

    def write(self, *records: Record) -> int:
        return self.replicas.write(self.now, self.now // MS, "n1", records)

    def test_open_job_fails_some_time_after_its_deadline(self) -> None:
        self.assertTrue(self.write(taken("j", until_ms=5_000)))
        self.to(6 * S)
        self.assertEqual(len(self.replicas.logs["n1"].jobs_state.open()), 1)
        self.to(9 * S)
        held = self.replicas.logs["n1"].jobs_state.jobs["j"]
        self.assertEqual(held.answer and held.answer.verdict, "failed")

    def test_second_intent_of_an_unsafe_job_is_rejected(self) -> None:
        intent = Intent("j", 1, "s1", "0", 3_000)
        self.assertEqual(self.write(intent), 0)  # the job is unknown
        self.assertTrue(self.write(taken("j", until_ms=20_000)))
        self.assertTrue(self.write(intent))
        self.assertEqual(self.write(Intent("j", 2, "s2", "0", 3_100)), 0)
        self.assertTrue(self.write(AttemptEndRecord("j", 1, True)))  # attempt 1 is proven not to have run
        self.assertTrue(self.write(Intent("j", 2, "s2", "0", 3_200)))
        self.assertTrue(self.write(AnswerRecord("j", "served", 3_300)))
        self.assertEqual(self.write(Intent("j", 3, "s2", "0", 3_400)), 0)

    def test_reaccepted_job_is_found_before_its_refusal(self) -> None:
        self.write(taken("j", until_ms=20_000), AnswerRecord("j", "refused", 3_000))
        other = copy.deepcopy(self.replicas.logs["n1"])
        other.jobs_state = JobLogState()
        other.jobs_state.apply(taken("j", until_ms=20_000))
        self.replicas.logs["n0"] = other
        found = self.replicas.find("j")
        self.assertEqual(found and found[0], "n0")


def taken(job: str = "j", job_class: str = "settle", until_ms: int = 10_000) -> JobTakenRecord:
    return JobTakenRecord(job, job_class, "s", b"body", until_ms)


class Rules(unittest.TestCase):
    def test_takeover_decisions(self) -> None:
        out = [Intent("j", 1, "s1", "7", 1_000)]
        for job_class, intents, never, now_ms, wanted in (
            ("settle", [], set(), 2_000, (NextStep.SEND, None)),
            ("settle", out, set(), 2_000, (NextStep.UNKNOWN, None)),
            ("settle", out, {1}, 2_000, (NextStep.SEND, None)),
            ("settle", [], set(), 9_960, (NextStep.LATE, None)),
            ("quote", out, set(), 2_000, (NextStep.SEND, None)),
            ("assign", out, set(), 2_000, (NextStep.SEND, AttemptLimits("7", 3_000))),
            ("assign", out, set(), 2_960, (NextStep.UNKNOWN, None)),
            ("no such class", out, set(), 2_000, (NextStep.UNKNOWN, None)),
        ):
            with self.subTest(job_class, now=now_ms):
                held = LoggedJob(taken(job_class=job_class), list(intents), set(never))
                self.assertEqual(next_step(held, CLASSES, now_ms), wanted)
        for cell, now_ms, may in (("7", 2_999, True), ("8", 2_999, False), ("7", 3_000, False)):
            self.assertEqual(allowed(AttemptLimits("7", 3_000), cell, now_ms), may)
        self.assertTrue(allowed(None, "any", 1 << 50))

    def test_groups_are_balanced_and_stable(self) -> None:
        names = [f"n{i}" for i in range(40)]
        kept = Counter(m for owner in names for m in group_of(owner, names, 3))
        self.assertTrue(all(n in group_of(n, names, 3) for n in names))
        self.assertLessEqual(max(kept.values()), 9)
        moved = sum(group_of(n, names, 3) != group_of(n, names[:-1], 3) for n in names[:-1])
        self.assertLessEqual(moved, 8)
        for name in names:
            owners = {o for o in names if name in group_of(o, names, 3)}
            self.assertEqual(set(owners_held_by(name, names, 3)), owners)

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 2**31))
    def test_job_state_survives_a_snapshot_and_keeps_the_first_answer(self, seed: int) -> None:
        chance, jobs_state = random.Random(seed), JobLogState()
        first: dict[str, AnswerRecord] = {}
        for number in range(60):
            job = f"j{chance.randrange(8)}"
            record: Record = chance.choice(
                (
                    taken(job),
                    Intent(job, number, "s", "0", 1),
                    AttemptEndRecord(job, chance.randrange(60), True),
                    AnswerRecord(job, "served", 5, str(number).encode()),
                    Forgotten((job,)),
                )
            )
            if isinstance(record, AnswerRecord) and job in jobs_state.jobs:
                first.setdefault(job, record)
            if isinstance(record, Forgotten):
                first.pop(job, None)
            jobs_state.apply(unpack(pack(record)))
            for known, answer in first.items():
                self.assertEqual(jobs_state.jobs[known].answer, answer)
        again = JobLogState.of(jobs_state.image())
        self.assertEqual((again.jobs, again.size), (jobs_state.jobs, jobs_state.size))
        self.assertEqual(
            jobs_state.size,
            sum(
                len(h.taken.body) + (len(h.answer.result) if h.answer else 0)
                for h in jobs_state.jobs.values()
            ),
        )


class FaultyFiles(MemberFiles):
    """Crashes (SystemExit) or raises OSError at write or sync number `at`; that write stores one half."""

    def __init__(self, at: int, fails: bool = False) -> None:
        self.left, self._fails = at, fails

    def _due(self) -> bool:
        self.left -= 1
        return self.left == 0

    def write(self, descriptor: int, data: bytes) -> None:
        if self._due():
            super().write(descriptor, data[: len(data) // 2])
            raise OSError("no space") if self._fails else SystemExit
        super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        if self._due():
            raise OSError("i/o error") if self._fails else SystemExit
        super().sync(descriptor)


class LogFiles(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name)

    def scenario(self, folder: FolderStorage) -> tuple[PersistentState, PersistentState]:
        """Performs writes as a replica requests them; returns the state in memory and the synced state."""
        kept, synced = PersistentState(), PersistentState()
        steps: list[tuple[Store, ...]] = [(Store(meta=True),)]
        steps += [(Store(entries=(LogEntry(1, b"%d" % n),), first=n),) for n in range(1, 6)]
        steps += [(Store(entries=(LogEntry(2, b"x"), LogEntry(2, b"y")), first=4),), (Store(meta=True),)]
        steps += [(Store(image=b"image" * 100, upto=3),), (Store(entries=(LogEntry(3, b"z"),), first=6),)]
        kept.starts = 1
        try:
            for number, stores in enumerate(steps):
                for store in stores:
                    if store.image is not None:
                        kept.entries = kept.entries[store.upto - kept.first + 1 :]
                        kept.first, kept.before, kept.image = store.upto + 1, 1, store.image
                    if store.entries:
                        del kept.entries[store.first - kept.first :]
                        kept.entries += store.entries
                    if store.meta:
                        kept.term, kept.voted = number, "n1"
                folder.write("n0", stores, kept)
                synced = parse((self.path / "n0.log").read_bytes())[0]
        except (OSError, SystemExit):
            pass
        return kept, synced

    def test_crash_or_error_at_any_write_or_sync_loses_no_synced_state(self) -> None:
        for fails in (False, True):
            for at in range(1, 22):
                for old in self.path.iterdir():
                    old.unlink()
                folder = FolderStorage(self.path, FaultyFiles(at, fails))
                kept, synced = self.scenario(folder)
                if fails and folder.broken:
                    with self.assertRaises(OSError):
                        folder.write("n0", (Store(meta=True),), kept)
                folder.close()
                found, reported = FolderStorage(self.path).load()
                self.assertFalse([t for t in reported if "set aside" in t], (at, reported))
                got = found.get("n0", PersistentState())
                self.assertGreaterEqual((got.term, got.last), (synced.term, synced.last), at)
                self.assertLessEqual(got.last, max(kept.last, synced.last))
        self.assertEqual(got, kept)  # the last run ends before its fault is due

    def test_any_corrupted_byte_is_detected(self) -> None:
        self.scenario(FolderStorage(self.path))
        complete = (self.path / "n0.log").read_bytes()
        good = parse(complete)[0]
        for at in range(0, len(complete), 3):
            data = bytearray(complete)
            data[at] ^= 0x10
            try:
                kept, size = parse(bytes(data))
            except ValueError:
                continue
            self.assertLess(size, len(complete), at)  # a length beyond the end looks like a torn write
            self.assertNotEqual(kept, good)
        data[len(MAGIC) + 14] ^= 1
        (self.path / "n0.log").write_bytes(bytes(data))
        found, reported = FolderStorage(self.path).load()
        self.assertEqual((found, len(list(self.path.glob("*.damaged")))), ({}, 1))
        self.assertIn("learns anew", reported[0])

    def test_file_that_grew_by_snapshots_is_rewritten(self) -> None:
        folder, kept = FolderStorage(self.path), PersistentState(starts=1)
        for number in range(1, 9):
            kept.entries, kept.first, kept.image = [], number + 1, bytes(1 << 21)
            folder.write("n0", (Store(image=kept.image, upto=number), Store(meta=True)), kept)
        folder.close()
        self.assertLess((self.path / "n0.log").stat().st_size, 8 << 21)
        self.assertEqual(FolderStorage(self.path).load()[0]["n0"], kept)


class FailingDisk(unittest.IsolatedAsyncioTestCase):
    async def next(self, instructions: asyncio.Queue[ReplicationInstruction]) -> ReplicationInstruction:
        async with asyncio.timeout(5):
            return await instructions.get()

    async def test_disk_failure_is_answered_at_once_and_jobs_are_accepted_after_recovery(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        config = CopiesConfig(
            ("127.0.0.1", free_port()),
            "n1",
            1,
            frozenset({"settle"}),
            Path(folder.name),
            0.2,
            others={"n1": ("127.0.0.1", 1)},
        )
        instructions: asyncio.Queue[ReplicationInstruction] = asyncio.Queue()
        for fails_at in (3, 5, 7, 9):  # writes and syncs alternate
            storage = FolderStorage(Path(folder.name), FaultyFiles(fails_at, fails=True))
            node = CopiesNode(
                config, CLASSES, 1, instructions.put_nowait, LogWriter("n1", per_s=0, burst=0), storage
            )
            await node.start()
            try:
                served, reported = 0, list[ReplicationAction]()
                for number in range(200):
                    job = f"{fails_at}-{number}"
                    node.take(taken(job, until_ms=int(time.time() * 1000) + 10_000), job, False)
                    act = await self.next(instructions)
                    while act.handle != job:  # an adopted job from before the failure
                        self.assertIsNone(act.handle)
                        act = await self.next(instructions)
                    reported.append(act.do)
                    served = served + 1 if act.do is ReplicationAction.START else 0
                    if served == 3 and storage.broken:
                        break
                    await asyncio.sleep(0.02)
                self.assertTrue(storage.broken, reported)
                self.assertEqual(served, 3, reported)
                self.assertIn(ReplicationAction.REFUSE, reported)
            finally:
                await node.stop()
            found, faults = FolderStorage(Path(folder.name)).load()
            self.assertEqual([f for f in faults if "set aside" in f], [])
            kept = [unpack(e.data) for e in found["n1"].entries if e.data]
            self.assertTrue(any(isinstance(r, JobTakenRecord) and r.job == job for r in kept))


class AttemptAdmission(unittest.TestCase):
    def setUp(self) -> None:
        self.posted: list[DispatchEvent] = []
        self.carried: list[DispatchCommand] = []
        self.node = mock.Mock()
        self.admission = ReplicationAdmission(
            frozenset({"settle"}), WorkerRegistry(), self.posted.append, self.carried.append, 0, 1
        )
        self.admission.node = self.node
        self.order = Dispatch(
            JobAttempt("job-1", 0, 7), ClientJob("j", "settle", "s", b"", 0, 10**12, print), 0
        )

    def test_attempt_waits_for_its_intent(self) -> None:
        self.admission.carry_out(self.order)
        self.assertEqual((self.carried, self.posted), ([], []))
        self.admission.act(ReplicationInstruction(ReplicationAction.GO, self.order))
        self.assertEqual(self.carried, [self.order])
        self.admission.post(AttemptEnded(self.order.attempt, Outcome.RESET))
        self.node.ended.assert_called_once_with("j", mock.ANY, False)
        self.assertEqual(len(self.posted), 1)

    def test_attempt_withdrawn_before_its_intent_is_never_sent(self) -> None:
        for late, never in ((ReplicationAction.GO, 1), (ReplicationAction.NOT_SENT, 0)):
            self.setUp()
            self.admission.carry_out(self.order)
            number = self.node.intent.call_args.args[1]
            self.admission.carry_out(CancelAttempt(self.order.attempt))
            self.assertEqual(self.posted, [AttemptEnded(self.order.attempt, Outcome.NOT_SENT)])
            self.admission.act(ReplicationInstruction(late, self.order))
            self.assertEqual((self.carried, len(self.posted)), ([], 1))
            self.assertEqual(self.node.ended.call_args_list, [mock.call("j", number, True)] * never)

    def test_intents_of_one_job_have_distinct_numbers(self) -> None:
        for ticket in ("job-1", "job-2"):  # the dispatcher received the job twice
            self.admission.carry_out(Dispatch(JobAttempt(ticket, 0, 7), self.order.job, 0))
        numbers = [call.args[1] for call in self.node.intent.call_args_list]
        self.assertEqual(len(set(numbers)), 2)


class FramesAndSettings(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.integers(0, 3000), min_size=1, max_size=5), st.integers(1, 900))
    def test_frames_split_anywhere_and_invalid_frames(self, sizes: list[int], cut: int) -> None:
        sent = [Append("n0", 1, 2, 1, (LogEntry(1, bytes(size)),), 0, 5) for size in sizes]
        data, frames = b"".join(map(frame, sent)), Frames()
        got = [m for at in range(0, len(data), cut) for m in frames.feed(data[at : at + cut])]
        self.assertEqual(got, sent)
        bad = bytearray(frame(LearnRequest("n0", 1, 2)))
        bad[-1] ^= 1
        with self.assertRaises(ValueError):
            frames.feed(bytes(bad))
        with self.assertRaises(ValueError):
            Frames().feed(b"\xff" * 16)

    def test_inconsistent_settings_are_rejected(self) -> None:
        head = "[copies]\nenabled yes\nlisten 127.0.0.1:7\nclasses settle\n"
        three = "".join(f"[copy n{i}]\naddress 127.0.0.1:{i}\n" for i in (1, 2, 3))
        for text, why in (
            ("[copies]\nenabled yes\n", "has no place"),
            (head, "our own name"),
            (head + "group 2\n" + three, "x:5: .*must be 1, 3 or 5"),
            (head + "group 5\n" + three, "at most the 3"),
            (head.replace("settle", "sttle") + three, "x:4: .*sttle: no such class"),
            (head.replace("classes settle\n", "") + three, "names none"),
        ):
            with self.assertRaisesRegex(ConfigError, why):
                read_copies(read_text(text, "x", (COPIES, COPY)), "n1", frozenset({"settle"}))
        config = read_copies(read_text(head + three, "x", (COPIES, COPY)), "n1", frozenset({"settle"}))
        self.assertEqual((config.group, sorted(config.others)), (3, ["n1", "n2", "n3"]))
