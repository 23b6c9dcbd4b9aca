"""Group membership and failure detection for one member: SWIM with the extensions of Lifeguard.

The module is a state machine without I/O and without a clock: the caller passes the time, the received
messages and a random number generator, and collects messages and events.  Sources: Das, Gupta and Motivala,
"SWIM" (2002); Dadgar, Phillips and Currey, "Lifeguard" (2018).  This implementation adds four rules:

- A member that receives no messages at all (a deaf member) publishes no suspicions and no deaths.
- A member that was paused does not count the messages that it missed as evidence against other members.
- Before a member declares another one dead, it pings that member once more.
- A reported death of a member that was in contact recently is treated as a suspicion.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec.structs import replace

from hollowusher.scheduler.rules.membership.events import Change, MembershipEvent
from hollowusher.scheduler.rules.membership.gossip import Gossip
from hollowusher.scheduler.rules.membership.messages import (
    MAX_PROCESS_ID,
    MemberStatus,
    MemberUpdate,
    Message,
    MessageKind,
    message_bytes,
    update_bytes,
)
from hollowusher.scheduler.rules.membership.pace import MembershipTiming

DIGEST_BUCKETS = 12  # hashes in a digest; a receiver sends all records of each bucket whose hash differs
MAX_PAGES = 32  # datagrams sent in reply to one digest
MAX_INDIRECT_PINGS = 64  # pending pings on behalf of other members
DUPLICATE_NAME_PERIODS = 20  # later, no message from an earlier process of a name is in flight
MAX_PROCESS_IDS = 4  # earlier process ids remembered for each name
JOIN_CONTACTS = 3  # names contacted in each period until the first message arrives


@dataclass(slots=True)
class MemberSuspicion:
    """A suspicion: its start, the members that reported it, and the state of the final ping."""

    since: int
    accusers: set[str]
    heard_at: int = -1  # last contact since the suspicion began, without a refutation; -1: none
    final_ping_sent: bool = False  # if set, `since` is the time at which the wait for the reply ends


@dataclass(slots=True)
class Record:
    """The local record of another member.  All times are in nanoseconds."""

    update: MemberUpdate
    heard_at: int  # last direct message, or last acknowledgement that a helper relayed
    changed_at: int  # when `update` was last replaced
    notified_at: int  # when this member last sent it the record that lists it as dead, left or replaced
    process_since: int  # when its current process id was first seen
    duplicate_reported: bool = False  # the TWIN event for this name was emitted
    tentative: bool = False  # set while this member was deaf: not gossiped, reverted at the next contact
    suspicion: MemberSuspicion | None = None
    process_ids: list[int] = field(default_factory=list)  # earlier process ids of this name

    @property
    def present(self) -> bool:
        """Whether the member is alive or only suspect."""
        return self.update.standing <= MemberStatus.SUSPECT


@dataclass(slots=True)
class MemberProbe:
    """The pending probe of one member."""

    target: str
    seq: int
    ask_at: int  # when helpers are asked for indirect pings
    end_at: int  # when the probe fails without an acknowledgement
    asked: int = -1  # number of helpers asked for an indirect ping; -1: not asked yet
    nacks: int = 0
    acked: bool = False


@dataclass(slots=True)
class IndirectPing:
    """A pending ping on behalf of another member, `origin`."""

    target: str
    origin: str
    seq: int
    nack_at: int  # when a NACK is sent to `origin`
    until: int  # when the request is dropped


class SwimMember:
    """The membership protocol of one process.

    The caller passes the time and at most one message to `step`, and calls `step` no later than at the time
    that `due` returns.  The protocol appends outgoing messages to `sends` and events to `reported`; the
    caller sends or handles them and empties both lists.  All times are in nanoseconds.
    """

    def __init__(
        self,
        name: str,
        process_id: int,
        incarnation: int,
        contacts: Iterable[str],
        timing: MembershipTiming,
        rng: random.Random,
        now: int,
        address: str = "",
    ) -> None:
        self.me = MemberUpdate(name, process_id & MAX_PROCESS_ID, incarnation, address=address)
        self.contacts = frozenset(contacts) | {name}
        self.timing, self.rng = timing, rng
        self.records: dict[str, Record] = {}
        self.gossip = Gossip()
        self.sends: list[tuple[str, Message]] = []
        self.reported: list[MembershipEvent] = []
        # `number`: of the current view; `health`: the local health score, 0 is best.
        self.number = self.health = self._seq = 0
        # `joined`: a message has arrived since the start; `gone`: this member has left.
        self.minority, self.deaf, self.joined, self.gone = len(self.contacts) > 1, True, False, False
        self._heard_at = now
        self._probe: MemberProbe | None = None
        self._indirect_pings: dict[int, IndirectPing] = {}
        self._probe_order: list[str] = []
        self._suspected: set[str] = set()  # names of the members under suspicion
        self._present_names: list[str] | None = None  # sorted cache; None: to be rebuilt
        self._probe_at = now + round(rng.random() * timing.period_ns)
        self._contact_absent_at = now
        self._send_digest_at = now + round((1 + rng.random()) * timing.digest_periods * timing.period_ns)
        # By id of another process with this name: the incarnation that this process announced against it.
        self._outbid_incarnations: dict[int, int] = {}
        self._refuted_at = now - 1
        self._duplicate_process: int | None = None

    # --- queries -------------------------------------------------------------------------------------------

    def present(self) -> list[str]:
        """Returns the sorted names of all present members, including this one."""
        return sorted([self.me.name, *(n for n, r in self.records.items() if r.present)])

    def missing(self) -> set[str]:
        """Returns the configured names that are not present.

        The set is empty while this member is deaf, because then this member itself may be cut off.
        """
        return set() if self.deaf else set(self.contacts) - set(self.present())

    def due(self) -> int:
        """Returns the time of the next timer: the caller must call `step` by then."""
        whens = [self._contact_absent_at, self._send_digest_at, self._probe_at]
        if self._probe is not None:
            whens.append(self._probe.end_at if self._probe.asked >= 0 else self._probe.ask_at)
        whens += [h.nack_at for h in self._indirect_pings.values()]
        whens += [self._suspicion_end(self.records[n]) for n in self._suspected]
        return min(whens)

    def frozen(self, now: int) -> tuple[object, ...]:
        """Returns the protocol state as a hashable value, with relative times, for the model checker."""
        probe = self._probe
        return (
            self.me,
            self.number,
            self.health,
            self.deaf,
            self.joined,
            self.gone,
            self._probe_at - now,
            self._contact_absent_at - now,
            self._send_digest_at - now,
            min(now - self._heard_at, self.timing.forget_ns),
            probe
            and (probe.target, probe.ask_at - now, probe.end_at - now, probe.asked, probe.nacks, probe.acked),
            tuple(
                sorted(
                    (
                        n,
                        r.update,
                        r.tentative,
                        now - r.heard_at,
                        r.suspicion
                        and (
                            r.suspicion.since - now,
                            frozenset(r.suspicion.accusers),
                            r.suspicion.heard_at >= 0,
                            r.suspicion.final_ping_sent,
                        ),
                    )
                    for n, r in self.records.items()
                )
            ),
            tuple((h.target, h.origin, h.nack_at - now) for h in self._indirect_pings.values()),
            tuple(self._probe_order),
            self.gossip.frozen(),
            tuple(self._outbid_incarnations.items()),
        )

    # --- inputs --------------------------------------------------------------------------------------------

    def step(self, now: int, message: Message | None = None) -> None:
        """Handles one received message, if any, and runs all due timers."""
        if self.gone:
            return
        late_ns = now - self.due()
        if late_ns > self.timing.timeout_ns:
            self._handle_pause(now, late_ns)
        if message is not None:
            self._handle_message(now, message)
        self._run_due_timers(now)

    def set_contacts(self, now: int, contacts: Iterable[str]) -> None:
        """Replaces the configured names.

        The present members stay; the majority is computed from the new names.
        """
        self.contacts = frozenset(contacts) | {self.me.name}
        self._contact_absent_at = now
        self._update_majority()

    def leave(self, now: int) -> None:
        """Announces that this member leaves.  Later calls of `step` have no effect."""
        self.me = replace(self.me, standing=MemberStatus.LEFT)
        others = self._others(())
        for name in self.rng.sample(others, min(len(others), 2 * self.timing.helpers)):
            self._send(name, MessageKind.PING, first=(self.me,))
        self.gone = True

    def _run_due_timers(self, now: int) -> None:
        for name in sorted(self._suspected):
            record = self.records[name]
            if record.suspicion is not None and self._suspicion_end(record) <= now:
                self._expire(now, name, record, record.suspicion)
        for seq in [s for s, h in self._indirect_pings.items() if h.nack_at <= now]:
            pending = self._indirect_pings[seq]
            if pending.until <= now:
                del self._indirect_pings[seq]
            else:
                self._send(pending.origin, MessageKind.NACK, pending.seq, pending.target)
                pending.nack_at = pending.until
        probe = self._probe
        if probe is not None and probe.asked < 0 and probe.ask_at <= now:
            self._ask_helpers(probe)
        if probe is not None and probe.end_at <= now:
            self._end_probe(now, probe)
        if self._probe is None and self._probe_at <= now:
            self._start_probe(now)
        if self._contact_absent_at <= now:
            self._contact_absent(now)
        if self._send_digest_at <= now:
            self._send_digest_at = now + self._jittered_periods_ns(self.timing.digest_periods)
            others = self._others(())
            if others:
                self._send_digest(self.rng.choice(others), asks=True)
            self._remove_expired(now)
        if not self.deaf and now - self._heard_at > self._scaled_periods_ns(self.timing.isolation_periods):
            self.deaf = True
            self._report(Change.DEAF, self.me.name, "no message received from any member")
            self._update_majority()

    def _handle_pause(self, now: int, late_ns: int) -> None:
        """Handles a pause of this process of `late_ns` nanoseconds.

        The process could not receive messages during the pause, so missing messages prove nothing: it extends
        all suspicions, discards its pending probe and pings, and raises its health score.
        """
        for name in self._suspected:
            if (suspicion := self.records[name].suspicion) is not None:
                suspicion.since += late_ns
                suspicion.final_ping_sent = False
        self._probe, self._probe_at = None, now + round(self.rng.random() * self.timing.period_ns)
        self._indirect_pings.clear()
        self._heard_at += late_ns
        self._raise_health_score(1 + late_ns // self.timing.period_ns)
        self._report(Change.PAUSED, self.me.name, f"{late_ns / 1e6:.0f} ms late")

    # --- received messages --------------------------------------------------------------------------------

    def _handle_message(self, now: int, message: Message) -> None:
        sender = message.sender
        if sender.name == self.me.name:
            if sender.process_id != self.me.process_id:
                self._handle_update_about_self(now, sender)
            return
        self._heard_at = now
        if self.deaf:
            self._end_isolation(now, sender.name)
        self.number = max(self.number, message.number)
        self._apply_update(now, sender)
        for update in message.news:
            self._apply_update(now, update)
        record = self.records.get(sender.name)
        if record is None:
            return
        if record.update.process_id == sender.process_id:
            self._note_contact(now, record)
        match message.kind:
            case MessageKind.PING:
                self._send(sender.name, MessageKind.ACK, message.seq)
            case MessageKind.ACK:
                self._handle_ack(now, message)
            case MessageKind.ASK:
                self._handle_ping_request(now, message)
            case MessageKind.NACK:
                if self._probe is not None and message.seq == self._probe.seq:
                    self._probe.nacks += 1
            case MessageKind.DIGEST:
                self._answer_digest(message)
        if (
            not record.present or record.update.process_id != sender.process_id
        ) and now - record.notified_at >= self.timing.period_ns:
            # The sender is recorded as dead or left, or another process with its name has a higher
            # incarnation.  This member sends the record back so that the sender can refute it.  It does so
            # at most once per period: a sender that never refutes would otherwise cause an endless exchange.
            record.notified_at = now
            if (
                record.update.process_id != sender.process_id
                and now - record.process_since > DUPLICATE_NAME_PERIODS * self.timing.period_ns
            ):
                # The last message of an ended process would have arrived by now, so both processes run.
                self._report_duplicate_name(record)
            self._send(sender.name, MessageKind.PING, first=(record.update,))

    def _end_isolation(self, now: int, name: str) -> None:
        """Ends the deaf state when a message arrives, and reverts the tentative suspicions and deaths."""
        self.deaf = False
        for other, record in self.records.items():
            if record.tentative:
                record.tentative, record.suspicion = False, None
                self._suspected.discard(other)
                if not record.present:
                    self._report(Change.JOINED, other, "declared missing while this member was deaf")
                record.update = replace(record.update, standing=MemberStatus.ALIVE, by="")
        self._present_names = None
        self._report(Change.HEARING, self.me.name, f"{name} sent a message")
        self.joined = True
        self._send_digest(name, asks=True)
        self._update_majority()

    def _note_contact(self, now: int, record: Record) -> None:
        """Records a contact: a direct message, or an acknowledgement relayed by a helper."""
        record.heard_at = now
        if record.suspicion is not None:
            record.suspicion.heard_at = now

    def _handle_ack(self, now: int, message: Message) -> None:
        name = message.target or message.sender.name
        pending = self._indirect_pings.get(message.seq)
        if pending is not None and pending.target == name:
            del self._indirect_pings[message.seq]
            self._send(pending.origin, MessageKind.ACK, pending.seq, pending.target)
            return
        record = self.records.get(name)
        if record is not None and message.target:
            self._note_contact(now, record)
        if self._probe is not None and self._probe.seq == message.seq and self._probe.target == name:
            self._probe.acked = True

    def _handle_ping_request(self, now: int, message: Message) -> None:
        """Pings the target on behalf of the sender, which received no acknowledgement from it."""
        if message.target not in self.records or len(self._indirect_pings) >= MAX_INDIRECT_PINGS:
            return
        seq = self._next_seq()
        nack_at = now + self.timing.timeout_ns * 4 // 5
        until = now + 2 * self.timing.period_ns
        self._indirect_pings[seq] = IndirectPing(
            message.target, message.sender.name, message.seq, nack_at, until
        )
        self._send(message.target, MessageKind.PING, seq)

    # --- member updates ------------------------------------------------------------------------------------

    def _apply_update(self, now: int, update: MemberUpdate) -> None:
        """Applies a member update if it supersedes the record of that member."""
        if update.name == self.me.name:
            self._handle_update_about_self(now, update)
            return
        record = self.records.get(update.name)
        if record is None:
            if len(self.records) < self.timing.max_members:
                self._add_record(now, update)
            return
        old, suspicion = record.update, record.suspicion
        if (
            update.standing is MemberStatus.SUSPECT
            and suspicion is not None
            and (update.process_id, update.incarnation) == (old.process_id, old.incarnation)
        ):
            if update.by not in suspicion.accusers and len(suspicion.accusers) <= self.timing.confirmers:
                suspicion.accusers.add(update.by)
                self.gossip.put(update)
            return
        if not update.supersedes(old):
            return
        recent_ns = self.timing.suspicion_ns(self._present_count(), self.timing.confirmers, 0)
        if (
            update.standing is MemberStatus.DEAD
            and update.process_id == old.process_id
            and not record.tentative
            and now - record.heard_at < recent_ns
        ):
            # This member was in contact with the subject recently, so probably only some members cannot reach
            # it.  The death becomes a suspicion, which is sent to the subject so that it can refute it.
            update = replace(update, standing=MemberStatus.SUSPECT, by=update.by or "others")
            if not update.supersedes(old):
                return
            self._send(update.name, MessageKind.PING, first=(update,))
        self._update_record(now, record, update)

    def _add_record(self, now: int, update: MemberUpdate) -> None:
        """Adds a record for a member that was not known."""
        record = Record(update, now - self.timing.forget_ns, now, now - self.timing.period_ns, now)
        self.records[update.name] = record
        if update.standing is MemberStatus.SUSPECT:
            record.suspicion = MemberSuspicion(now, {update.by})
            self._suspected.add(update.name)
        self._present_names = None
        if record.present:
            self._probe_order.insert(self.rng.randrange(len(self._probe_order) + 1), update.name)
            self.gossip.put(update)
            self._report_view_change(Change.JOINED, update.name, "first update received")

    def _update_record(self, now: int, record: Record, update: MemberUpdate, tentative: bool = False) -> None:
        """Stores a superseding update in the record and emits the event for the change."""
        old, was_there = record.update, record.present
        record.update = update = replace(update, address=update.address or old.address)
        record.changed_at, record.tentative = now, tentative
        if update.standing is MemberStatus.SUSPECT:
            record.suspicion = record.suspicion if update.incarnation == old.incarnation else None
            record.suspicion = record.suspicion or MemberSuspicion(now, {update.by})
            self._suspected.add(update.name)
        else:
            record.suspicion = None
            self._suspected.discard(update.name)
        self._present_names = None
        if tentative:
            self.gossip.drop(update.name)
        else:
            self.gossip.put(update)
        if update.process_id != old.process_id:
            if update.process_id in record.process_ids:
                self._report_duplicate_name(record)
            record.process_since = now
            record.process_ids = [*(n for n in record.process_ids if n != update.process_id), old.process_id][
                -MAX_PROCESS_IDS:
            ]
        if record.present and not was_there:
            self._probe_order.insert(self.rng.randrange(len(self._probe_order) + 1), update.name)
            self._report_view_change(Change.JOINED, update.name, f"incarnation {update.incarnation}")
        elif was_there and not record.present:
            change = Change.DIED if update.standing is MemberStatus.DEAD else Change.LEFT
            self._report_view_change(change, update.name, f"by {update.by}" if update.by else "")
        elif record.present and update.process_id != old.process_id:
            self._report_view_change(
                Change.RESTARTED, update.name, f"process {update.process_id:08x} after {old.process_id:08x}"
            )
        elif update.standing is MemberStatus.SUSPECT and old.standing is MemberStatus.ALIVE:
            self._report(Change.SUSPECTED, update.name, f"by {update.by}")
            # With this probability the suspect is probed next, so about 2 * `confirmers` members of the whole
            # group probe it out of turn: the suspect receives the suspicion early, and `confirmers` of them
            # can confirm it early.
            if self.rng.random() * len(self.records) < 2 * self.timing.confirmers:
                self._probe_order.append(update.name)
        elif update.standing is MemberStatus.ALIVE and old.standing is MemberStatus.SUSPECT:
            self._report(Change.CLEARED, update.name, f"incarnation {update.incarnation}")

    def _report_duplicate_name(self, record: Record) -> None:
        if not record.duplicate_reported:
            record.duplicate_reported = True
            self._report(Change.TWIN, record.update.name, "two processes use this name")

    def _handle_update_about_self(self, now: int, update: MemberUpdate) -> None:
        """Refutes an update about this member's own name by announcing a higher incarnation."""
        if update.incarnation < self.me.incarnation or (
            update.process_id == self.me.process_id and update.standing is MemberStatus.ALIVE
        ):
            return
        if update.process_id != self.me.process_id:
            answered = self._outbid_incarnations.get(update.process_id)
            if (
                answered is not None
                and update.incarnation > answered
                and self._duplicate_process != update.process_id
            ):
                # The other process raised its incarnation after this refutation, so it is still running.
                self._duplicate_process = update.process_id
                self._report(Change.TWIN, self.me.name, f"process {update.process_id:08x} uses the same name")
            if self._duplicate_process is not None and now - self._refuted_at < self._scaled_periods_ns(
                self.timing.digest_periods
            ):
                return  # limits the traffic of two processes that outbid each other
            self._outbid_incarnations[update.process_id] = update.incarnation + 1
            if len(self._outbid_incarnations) > MAX_PROCESS_IDS:
                del self._outbid_incarnations[next(iter(self._outbid_incarnations))]
            self._refuted_at = now
        elif update.standing is MemberStatus.SUSPECT:
            self._raise_health_score(1)
        self.me = replace(self.me, incarnation=update.incarnation + 1)
        self.gossip.put(self.me)
        if update.standing is not MemberStatus.ALIVE:
            self._report(
                Change.REFUTED, self.me.name, f"{update.standing.name.lower()} by {update.by or 'others'}"
            )
        others = self._others((update.by,))
        reported = self.rng.sample(others, min(len(others), self.timing.helpers))
        for name in [*([update.by] if update.by in self.records else []), *reported]:
            self._send(name, MessageKind.PING, first=(self.me,))

    # --- failure detection ---------------------------------------------------------------------------------

    def _start_probe(self, now: int) -> None:
        self._probe_at = now + self._scaled_periods_ns(1.0)
        others = self._others(())
        if not others:
            return
        while True:
            if not self._probe_order:
                self._probe_order = self.rng.sample(others, len(others))
            target = self._probe_order.pop()
            if target in self.records and self.records[target].present:
                break
        self._probe = MemberProbe(
            target, self._next_seq(), now + self._scaled_timeout_ns(), now + self._scaled_periods_ns(1.0)
        )
        self._send(target, MessageKind.PING, self._probe.seq)

    def _ask_helpers(self, probe: MemberProbe) -> None:
        probe.asked = 0
        if probe.acked:
            return
        others = self._others((probe.target,))
        for name in self.rng.sample(others, min(len(others), self.timing.helpers)):
            self._send(name, MessageKind.ASK, probe.seq, probe.target)
            probe.asked += 1
        self._send(probe.target, MessageKind.PING, probe.seq)

    def _end_probe(self, now: int, probe: MemberProbe) -> None:
        self._probe = None
        if probe.acked:
            self.health = max(0, self.health - 1)
            return
        self._raise_health_score(max(0, probe.asked - probe.nacks) if probe.asked > 0 else 1)
        record = self.records.get(probe.target)
        if record is None or not record.present:
            return
        if record.suspicion is not None:  # this failed probe confirms the suspicion
            self._apply_update(now, replace(record.update, standing=MemberStatus.SUSPECT, by=self.me.name))
            return
        update = replace(record.update, standing=MemberStatus.SUSPECT, by=self.me.name, address="")
        self._update_record(now, record, update, tentative=self.deaf)

    def _suspicion_end(self, record: Record) -> int:
        """Returns when the suspicion expires, or when the wait for the final ping ends."""
        suspicion = record.suspicion
        assert suspicion is not None
        if suspicion.final_ping_sent:
            return suspicion.since
        confirmed = len(suspicion.accusers) - 1
        return suspicion.since + self.timing.suspicion_ns(self._present_count(), confirmed, self.health)

    def _expire(self, now: int, name: str, record: Record, suspicion: MemberSuspicion) -> None:
        """Handles an expired suspicion: sends a final ping first, and declares the member dead after that."""
        if not suspicion.final_ping_sent:
            if suspicion.heard_at >= 0:  # in contact but not refuted: the suspicion may reach it late
                suspicion.since, suspicion.heard_at = now, -1
                self._send(name, MessageKind.PING)
                return
            suspicion.final_ping_sent, suspicion.since = True, now + 2 * self.timing.timeout_ns
            self._send(name, MessageKind.PING, self._next_seq())
            others = self._others((name,))
            for other in self.rng.sample(others, min(len(others), self.timing.helpers)):
                self._send(other, MessageKind.ASK, self._next_seq(), name)
        elif suspicion.heard_at >= 0:
            suspicion.final_ping_sent, suspicion.since, suspicion.heard_at = False, now, -1
        else:
            by = self.me.name
            self._update_record(
                now, record, replace(record.update, standing=MemberStatus.DEAD, by=by), tentative=self.deaf
            )

    # --- digests ------------------------------------------------------------------------------------------

    def _contact_absent(self, now: int) -> None:
        """Sends digests to absent names, to join the group and to reunite the parts of a healed partition."""
        absent = sorted(
            {n for n in self.contacts if n != self.me.name and not self._is_present(n)}
            | {n for n, r in self.records.items() if r.update.standing is MemberStatus.DEAD}
        )
        calls = max(1, len(absent) // self.timing.rejoin_divisor) if self.joined else JOIN_CONTACTS
        self._contact_absent_at = now + self._jittered_periods_ns(
            self.timing.rejoin_periods if self.joined else 1.0
        )
        for name in self.rng.sample(absent, min(len(absent), calls)):
            self._send_digest(name, asks=True)

    def _is_present(self, name: str) -> bool:
        record = self.records.get(name)
        return record is not None and record.present

    def hashes(self) -> tuple[int, ...]:
        """Returns one hash per bucket over the present members; equal views have equal hashes."""
        parts = [0] * DIGEST_BUCKETS
        for update in [self.me, *(r.update for r in self.records.values() if r.present)]:
            entry = f"{update.name}/{update.process_id}/{update.incarnation}"
            parts[self._bucket(update.name)] ^= zlib.crc32(entry.encode())
        return tuple(parts)

    def _bucket(self, name: str) -> int:
        return zlib.crc32(name.encode()) % DIGEST_BUCKETS

    def _send_digest(self, name: str, asks: bool) -> None:
        self._send(name, MessageKind.DIGEST, int(asks), hashes=self.hashes())

    def _answer_digest(self, message: Message) -> None:
        """Sends the records of all differing buckets, and a digest if the sender requested one."""
        pairs = zip(self.hashes(), message.hashes, strict=False)
        differ = {at for at, (ours, theirs) in enumerate(pairs) if ours != theirs}
        if not differ:
            return
        if message.seq:
            self._send_digest(message.sender.name, asks=False)
        update = [
            r.update
            for n, r in self.records.items()
            if self._bucket(n) in differ and not r.tentative and n != message.sender.name
        ]
        empty = self._message(MessageKind.PAGE, 0, "", (), ())
        for _ in range(MAX_PAGES):
            if not update:
                break
            page, capacity = [], self.timing.capacity - message_bytes(empty)
            while update and update_bytes(update[-1]) <= capacity:
                capacity -= update_bytes(update[-1])
                page.append(update.pop())
            self.sends.append((message.sender.name, replace(empty, news=tuple(page))))

    # --- helpers -------------------------------------------------------------------------------------------

    def _others(self, excluded: tuple[str, ...]) -> list[str]:
        if self._present_names is None:
            self._present_names = sorted(n for n, r in self.records.items() if r.present)
        return [n for n in self._present_names if n not in excluded] if excluded else self._present_names

    def _present_count(self) -> int:
        """Returns the number of present members, including this one."""
        return 1 + len(self._others(()))

    def _next_seq(self) -> int:
        self._seq = self._seq % 60_000 + 1
        return self._seq

    def _scaled_periods_ns(self, periods: float) -> int:
        """Returns the periods in nanoseconds, scaled up by the local health score."""
        return round(periods * self.timing.period_ns * (1 + self.health))

    def _scaled_timeout_ns(self) -> int:
        return self.timing.timeout_ns * (1 + self.health)

    def _jittered_periods_ns(self, periods: float) -> int:
        """Returns the periods in nanoseconds with 25 % jitter, so that members do not act in lockstep."""
        return round(periods * self.timing.period_ns * (0.75 + 0.5 * self.rng.random()))

    def _raise_health_score(self, by: int) -> None:
        self.health = min(self.timing.max_health_score, self.health + by)

    def _message(
        self,
        kind: MessageKind,
        seq: int,
        target: str,
        update: tuple[MemberUpdate, ...],
        hashes: tuple[int, ...],
    ) -> Message:
        return Message(kind, self.me, self.number, seq, target, update, hashes)

    def _send(
        self,
        name: str,
        kind: MessageKind,
        seq: int = 0,
        target: str = "",
        first: tuple[MemberUpdate, ...] = (),
        hashes: tuple[int, ...] = (),
    ) -> None:
        """Queues a message and fills it with updates up to the datagram size.

        An update that the receiver must refute comes first, then `first`, then gossip.
        """
        record = self.records.get(name)
        if record is not None and record.update.standing is not MemberStatus.ALIVE and not record.tentative:
            first = (record.update, *first)
        message = self._message(kind, seq, target, (), hashes)
        capacity = self.timing.capacity - message_bytes(message)
        self.sends.append(
            (name, replace(message, news=self.gossip.pick(capacity, len(self.records) + 1, first)))
        )

    def _remove_expired(self, now: int) -> None:
        for name in [
            n for n, r in self.records.items() if not r.present and now - r.changed_at > self.timing.forget_ns
        ]:
            del self.records[name]
            self.gossip.drop(name)

    def _report_view_change(self, change: Change, name: str, why: str) -> None:
        """Emits a change of the present members and raises the view number above all numbers seen so far."""
        self.number += 1
        self._report(change, name, why)
        self._update_majority()

    def _update_majority(self) -> None:
        """Emits an event when this member gains or loses contact with a majority of the configured names."""
        reached = (
            1 if self.deaf else sum(1 for n in self.contacts if n == self.me.name or self._is_present(n))
        )
        minority = 2 * reached <= len(self.contacts)
        if minority != self.minority:
            self.minority = minority
            self._report(
                Change.MINORITY if minority else Change.MAJORITY,
                self.me.name,
                f"{reached} of {len(self.contacts)}",
            )

    def _report(self, change: Change, name: str, why: str = "") -> None:
        self.reported.append(MembershipEvent(change, name, why, self.number))
