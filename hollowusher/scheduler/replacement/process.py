"""This process beside another of the same scheduler: who takes clients, and who may spend what."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from hollowusher.balancing.learned_state import LearnedState
from hollowusher.scheduler.component import Plain
from hollowusher.scheduler.dispatch.model import ColdBudgetInUse, DispatchEvent
from hollowusher.scheduler.dispatch.worker_registry import WorkerRegistry
from hollowusher.scheduler.fronts.common import JobIds
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.replacement.directory import Other, SharedDirectory
from hollowusher.scheduler.replacement.records import Handover, Phase, RecordError
from hollowusher.scheduler.replacement.workers import to_records

POLL_S = 0.05  # between two looks at the shared directory
HANDOVER_S = 2.0  # how long a process that starts waits for what an older one hands over
HANDOVER_POLL_S = 0.01
CLAIMS_KEPT_S = 60.0  # how long job ids that were taken while two lived are still refused


class Replacement(Plain):
    """Keeps an eye on the other processes, and acts on what they do."""

    name = "replacement"

    def __init__(
        self,
        directory: SharedDirectory,
        registry: WorkerRegistry,
        ids: JobIds,
        post: Callable[[DispatchEvent], None],
        list_version: Callable[[], int],
        remember: Callable[[], LearnedState],
        log: LogWriter,
    ) -> None:
        """`list_version` and `remember` tell what is handed over beside the job ids and the list."""
        self._directory, self._registry, self._ids = directory, registry, ids
        self._post, self._list_version, self._remember, self._log = post, list_version, remember, log
        self.looked: list[Callable[[], None]] = []  # called after each look, for what else is shared
        self.shared: Callable[[bool], None] = lambda shared: None  # whether descriptors are now
        self.replaced = asyncio.Event()  # while a younger process serves
        self._others: list[Other] = []
        self._took_over = set[str]()
        self._phase = Phase.STARTING
        self._beside = False  # whether another lived at the last look
        self._claims: asyncio.TimerHandle | None = None
        self._polling: asyncio.Task[None] | None = None

    async def arrive(self) -> Handover | None:
        """What an older process hands over, if one lives and does so in time."""
        self._look()
        if not self._older():
            return None
        self._log.notice("replacing", "another process of this scheduler runs", others=len(self._older()))
        deadline = asyncio.get_running_loop().time() + HANDOVER_S
        while asyncio.get_running_loop().time() < deadline:
            try:
                if (handover := self._directory.handover()) is not None:
                    self._ids.remember(handover.job_ids)
                    return handover
            except RecordError as wrong:
                self._log.warning("handover-unreadable", str(wrong))
                return None
            if not any(other.token < self._directory.token for other in self._directory.others()):
                return None  # it died
            await asyncio.sleep(HANDOVER_POLL_S)
        self._log.warning("handover-missing", "the other process hands nothing over", waited_s=HANDOVER_S)
        return None

    async def start(self) -> None:
        """Look at the others from now on."""
        self._polling = asyncio.create_task(self._poll())

    def serves(self) -> None:
        """This process takes clients from now on."""
        self._tell(Phase.SERVING)

    def leaves(self) -> None:
        """This process has been asked to stop."""
        self._tell(Phase.DRAINING)
        self._look()

    async def stop(self) -> None:
        """End in good order."""
        if self._polling is not None:
            self._polling.cancel()
        if self._claims is not None:
            self._claims.cancel()
        self._directory.leave()

    def report(self) -> Mapping[str, object]:
        """Which processes of this scheduler live, and what they do."""
        others = [{"process": o.token, "phase": o.phase.value} for o in self._others]
        return {"process": self._directory.token, "phase": self._phase.value, "others": others}

    @property
    def beside_another(self) -> bool:
        """Whether another process of this scheduler lives."""
        return bool(self._others)

    def _older(self) -> list[Other]:
        return [other for other in self._others if other.token < self._directory.token]

    def _tell(self, phase: Phase) -> None:
        self._phase = phase
        try:
            self._directory.tell(phase)
        except OSError as wrong:
            self._log.error("shared-directory", str(wrong))

    async def _poll(self) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            self._look()

    def _look(self) -> None:
        """See who lives, and act on what has changed."""
        try:
            self._others = self._directory.others()
            for other in self._others:
                if other.token > self._directory.token and other.token not in self._took_over:
                    self._hand_over(other)
        except OSError as wrong:
            self._log.error("shared-directory", str(wrong))
        younger = [o for o in self._others if o.token > self._directory.token]
        if any(o.phase is Phase.SERVING for o in younger):
            self.replaced.set()
        else:
            self.replaced.clear()
        if self._others and not self._spends_cold_budget():
            self._post(ColdBudgetInUse())
        if bool(self._others) is not self._beside:
            self._beside = bool(self._others)
            self._count_together()
        for act in self.looked:
            act()

    def _spends_cold_budget(self) -> bool:
        """Whether cold workers are this process's: the oldest has them that is not on its way out."""
        if self._phase is Phase.DRAINING:
            return False
        return all(other.phase is Phase.DRAINING for other in self._older())

    def _hand_over(self, other: Other) -> None:
        """Job ids are claimed where all see it before those known here are listed: none falls between."""
        self._took_over.add(other.token)
        self._ids.elsewhere = self._directory.claim
        self._directory.hand_over(
            other.token,
            Handover(
                self._directory.listen,
                self._ids.known(),
                self._list_version(),
                to_records(self._registry),
                self._remember(),
            ),
        )
        self._log.notice("handed-over", "to another process of this scheduler", process=other.token)

    def _count_together(self) -> None:
        """Another process has come, or the last of the others has gone."""
        self.shared(self._beside)
        if self._claims is not None:
            self._claims.cancel()
            self._claims = None
        if self._beside:
            self._ids.elsewhere = self._directory.claim
            return
        self._log.notice("alone", "no other process of this scheduler runs any more")
        self._ids.elsewhere = self._directory.unclaimed
        self._claims = asyncio.get_running_loop().call_later(CLAIMS_KEPT_S, self._forget_claims)

    def _forget_claims(self) -> None:
        self._ids.elsewhere = None
        self._directory.clear_claims()
