"""Between the fronts, the desk and the route nodes: nothing is promised, sent or told before it is kept.

In go a client's job, an attempt that the desk orders, an attempt's end, the desk's answer; out come, once the
records behind them are kept, what may go on.  It decides nothing about nodes: it only lets through, or not.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from msgspec import Struct

from hazelweir.interface import JobClass
from hollowusher.rules.copies.keeper import Adopted, Keeper
from hollowusher.rules.copies.records import Answered, Ended, Forgotten, Held, Intent, Taken
from hollowusher.rules.copies.takeover import Next

SEEK_AGAIN_MS = 200  # between two questions about a job that another scheduler is working on
SEEK_MS = 600  # how long a job that comes again may stay unknown before its client is told to come later
TELL_SPARE_MS = 30  # before its client gives up, one that cannot be told its answer is told that it failed


class Seek(Struct, frozen=True, array_like=True, tag="seek"):
    """Does anybody know this job?"""

    job: str


class Found(Struct, frozen=True, array_like=True, tag="found"):
    """What one knows: `open`, or its answer, or nothing; and whose logs it leads: there nothing means no."""

    job: str
    open: bool
    answer: Answered | None
    leads: tuple[str, ...]


class Do(Enum):
    """What may go on now."""

    START = "start"  # the job goes to the desk
    REFUSE = "refuse"  # it was not taken: harmless to try again
    GO = "go"  # the attempt's first byte may go out
    NOT_SENT = "not-sent"  # it may not: nothing of it went out
    TELL = "tell"  # the client is told this answer


@dataclass(frozen=True, slots=True)
class Act:
    """One thing that may go on; `adopted`: a job of another's log that is to be worked on here."""

    do: Do
    handle: Hashable
    answer: Answered | None = None
    adopted: Adopted | None = None


@dataclass(slots=True)
class _Sought:
    taken: Taken
    handle: Hashable
    since_ms: int
    asked_ms: int
    open: bool = False
    leads: set[str] = field(default_factory=set)


def _refused(held: Held) -> bool:
    """Whether it was turned away: then it is as new when it comes again."""
    return held.answer is not None and held.answer.verdict == "refused"


class Custody:
    """The caller empties `acts` and `asks` (who: `""` for all others) after each call."""

    def __init__(self, keeper: Keeper, names: tuple[str, ...], classes: Mapping[str, JobClass]) -> None:
        self.keeper, self._names, self._classes = keeper, names, classes
        self.acts: list[Act] = []
        self.asks: list[tuple[str, Seek | Found]] = []
        self._pending: dict[int, tuple[str, str, Hashable]] = {}  # token: what was written, job, handle
        self._owners: dict[str, str] = {}  # jobs that this process works on: whose log they are in
        self._waiting: dict[str, list[tuple[Hashable, int]]] = {}  # job: who waits for its answer, until (ms)
        self._sought: dict[str, _Sought] = {}

    # --- in -----------------------------------------------------------------------------------------------

    def take(self, now: int, now_ms: int, taken: Taken, handle: Hashable, again: bool = False) -> None:
        """A client asks.  `again`: it says that it has asked before, perhaps elsewhere."""
        known = self.keeper.find(taken.job)
        if known is not None and not _refused(known[1]):
            self._wait_for(now_ms, taken, handle, known[1])
        elif again and len(self._names) > 1:
            self._sought[taken.job] = _Sought(taken, handle, now_ms, now_ms)
            self.asks.append(("", Seek(taken.job)))
            self._hear(now, now_ms, taken.job, self.keeper.name, self._know(now, taken.job))
        else:
            self._take_new(now, now_ms, taken, handle)
        self._settle(now, now_ms)

    def intent(
        self, now: int, now_ms: int, job: str, number: int, node: str, cell: str, handle: Hashable
    ) -> None:
        """The desk orders an attempt."""
        owner = self._owners.get(job)
        records = (Intent(job, number, node, cell, now_ms),)
        token = self.keeper.write(now, now_ms, owner, records) if owner is not None else 0
        if token:
            self._pending[token] = ("intent", job, handle)
        else:
            self.acts.append(Act(Do.NOT_SENT, handle))
        self._settle(now, now_ms)

    def ended(self, now: int, now_ms: int, job: str, number: int, never: bool) -> None:
        """An attempt is over.  Told, and not waited for."""
        if (owner := self._owners.get(job)) is not None:
            self.keeper.write(now, now_ms, owner, (Ended(job, number, never),))
            self._settle(now, now_ms)

    def answer(self, now: int, now_ms: int, answer: Answered, handle: Hashable, until_ms: int) -> None:
        """The desk has its answer: the client is told once it is kept."""
        owner = self._owners.get(answer.job)
        token = self.keeper.write(now, now_ms, owner, (answer,)) if owner is not None else 0
        if token:
            self._pending[token] = ("answer", answer.job, handle)
        self._waiting.setdefault(answer.job, []).append((handle, until_ms))
        self._settle(now, now_ms)

    def gone(self, job: str) -> None:
        """Its client waits no more; the job itself goes on."""
        self._waiting.pop(job, None)
        self._sought.pop(job, None)

    def heard(self, now: int, now_ms: int, message: Seek | Found, sender: str) -> None:
        """Another scheduler asks, or answers."""
        if isinstance(message, Seek):
            self.asks.append((sender, self._know(now, message.job)))
        else:
            self._hear(now, now_ms, message.job, sender, message)
            self._settle(now, now_ms)

    def tick(self, now: int, now_ms: int) -> None:
        """After each step of the keeper, and ten times a second."""
        for job, sought in list(self._sought.items()):
            if now_ms - sought.asked_ms >= SEEK_AGAIN_MS:
                sought.asked_ms = now_ms
                self.asks.append(("", Seek(job)))
            late = now_ms - sought.since_ms > SEEK_MS and not sought.open
            if late or now_ms > sought.taken.until_ms - TELL_SPARE_MS:
                del self._sought[job]
                self.acts.append(Act(Do.REFUSE, sought.handle))
        self._settle(now, now_ms)

    # --- inside -------------------------------------------------------------------------------------------

    def _take_new(self, now: int, now_ms: int, taken: Taken, handle: Hashable) -> None:
        token, known = 0, self.keeper.logs[self.keeper.name].book.jobs.get(taken.job)
        if self.keeper.room():
            records = (taken,) if known is None else (Forgotten((taken.job,)), taken)
            token = self.keeper.write(now, now_ms, self.keeper.name, records)
        if token:
            self._pending[token] = ("taken", taken.job, handle)
            self._waiting.setdefault(taken.job, []).append((handle, taken.until_ms))
        else:
            self.acts.append(Act(Do.REFUSE, handle))

    def _wait_for(self, now_ms: int, taken: Taken, handle: Hashable, held: Held) -> None:
        if held.answer is not None:
            self.acts.append(Act(Do.TELL, handle, held.answer))
        else:
            self._waiting.setdefault(taken.job, []).append((handle, taken.until_ms))

    def _know(self, now: int, job: str) -> Found:
        known = self.keeper.find(job)
        leads = tuple(o for o in self.keeper.logs if self.keeper.promises(now, o))
        if known is None or _refused(known[1]):
            busy = any(j == job for _, j, _ in self._pending.values())
            return Found(job, busy, None, leads)
        return Found(job, known[1].answer is None, known[1].answer, leads)

    def _hear(self, now: int, now_ms: int, job: str, sender: str, found: Found) -> None:
        sought = self._sought.get(job)
        if sought is None:
            return
        if found.answer is not None:
            del self._sought[job]
            self.acts.append(Act(Do.TELL, sought.handle, found.answer))
        elif found.open:
            sought.open = True
            sought.leads.clear()
        elif not sought.open or found.leads:
            sought.leads.update(found.leads)
            if sought.leads >= set(self._names):  # whoever leads each log says no
                del self._sought[job]
                self._take_new(now, now_ms, sought.taken, sought.handle)

    def _settle(self, now: int, now_ms: int) -> None:
        """What the keeper has told."""
        for written in self.keeper.written:
            what, job, handle = self._pending.pop(written.token, ("", "", None))
            if what == "taken":
                others = [w for w in self._waiting.pop(job, []) if w[0] != handle]
                if others:
                    self._waiting[job] = others
                if written.kept:
                    self._owners[job] = self.keeper.name
                    self.acts.append(Act(Do.START, handle))
                else:  # it may be kept all the same: whoever leads now answers it, and we pass that on
                    self._waiting.setdefault(job, []).append((handle, now_ms + SEEK_MS))
            elif what == "intent":
                self.acts.append(Act(Do.GO if written.kept else Do.NOT_SENT, handle))
        self.keeper.written = []
        for adopted in self.keeper.adopted:
            job = adopted.held.taken.job
            if job in self._owners:
                continue  # our own desk has it still
            self._owners[job] = adopted.owner
            if adopted.next is Next.SEND:
                self.acts.append(Act(Do.START, None, adopted=adopted))
            else:
                self.keeper.write(now, now_ms, adopted.owner, (Answered(job, "failed", now_ms),))
        self.keeper.adopted = []
        for job in list(self._waiting):
            self._tell(now_ms, job)

    def _tell(self, now_ms: int, job: str) -> None:
        known = self.keeper.find(job)
        answer = known[1].answer if known is not None else None
        left: list[tuple[Hashable, int]] = []
        for handle, until_ms in self._waiting[job]:
            if answer is not None:
                self.acts.append(Act(Do.TELL, handle, answer))
            elif now_ms >= until_ms - TELL_SPARE_MS:
                self.acts.append(Act(Do.TELL, handle, Answered(job, "failed", now_ms)))
            else:
                left.append((handle, until_ms))
        if left:
            self._waiting[job] = left
        else:
            del self._waiting[job]
        if answer is not None:
            self._owners.pop(job, None)
