"""Coordinates this process with other processes of the same scheduler during a live replacement."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from hollowusher.balancing.learned_state import LearnedState
from hollowusher.scheduler.component import NoDrain
from hollowusher.scheduler.dispatch.model import ColdBudgetInUse, DispatchEvent
from hollowusher.scheduler.dispatch.worker_registry import WorkerRegistry
from hollowusher.scheduler.fronts.common import JobIds
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.replacement.directory import OtherProcess, SharedDirectory
from hollowusher.scheduler.replacement.records import Handover, Phase, RecordError
from hollowusher.scheduler.replacement.workers import to_records

POLL_S = 0.05  # interval between two polls of the shared directory
HANDOVER_S = 2.0  # how long a starting process waits for the handover of an older one
HANDOVER_POLL_S = 0.01
CLAIMS_KEPT_S = 60.0  # how long job ids claimed by two concurrent processes are still rejected as duplicates


class Replacement(NoDrain):
    """Polls the other processes of this scheduler and reacts to changes of their phases.

    An older process hands its state over to a newer one.  While several processes run, they claim job ids in
    the shared directory and divide the descriptors and the budget for cold workers."""

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
        """`list_version` and `remember` return the version of the worker list and the learned state for the
        handover."""
        self._directory, self._registry, self._ids = directory, registry, ids
        self._post, self._list_version, self._remember, self._log = post, list_version, remember, log
        self.after_poll: list[Callable[[], None]] = []  # called after each poll of the shared directory
        self.shared: Callable[[bool], None] = lambda shared: (
            None
        )  # called with whether descriptors are shared
        self.replaced = asyncio.Event()  # set while a newer process serves clients
        self._others: list[OtherProcess] = []
        self._handed_over = set[str]()
        self._phase = Phase.STARTING
        self._sharing = False  # whether another process was alive at the last poll
        self._claims: asyncio.TimerHandle | None = None
        self._polling: asyncio.Task[None] | None = None

    async def receive_handover(self) -> Handover | None:
        """Wait up to HANDOVER_S seconds for the handover of an older process.

        Returns None if no older process runs, or if it provides no valid handover in time."""
        self._check_others()
        if not self._older():
            return None
        self._log.notice(
            "replacing", "an older process of this scheduler is running", others=len(self._older())
        )
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
                return None  # the older process died
            await asyncio.sleep(HANDOVER_POLL_S)
        self._log.warning(
            "handover-missing", "the older process provided no handover in time", waited_s=HANDOVER_S
        )
        return None

    async def start(self) -> None:
        """Start polling the shared directory."""
        self._polling = asyncio.create_task(self._poll())

    def mark_serving(self) -> None:
        """Publish that this process accepts clients from now on."""
        self._publish_phase(Phase.SERVING)

    def mark_draining(self) -> None:
        """Publish that this process is draining."""
        self._publish_phase(Phase.DRAINING)
        self._check_others()

    async def stop(self) -> None:
        """Stop polling and remove this process from the shared directory."""
        if self._polling is not None:
            self._polling.cancel()
        if self._claims is not None:
            self._claims.cancel()
        self._directory.leave()

    def report(self) -> Mapping[str, object]:
        """Return the living processes of this scheduler and their phases."""
        others = [{"process": o.token, "phase": o.phase.value} for o in self._others]
        return {"process": self._directory.token, "phase": self._phase.value, "others": others}

    @property
    def has_others(self) -> bool:
        """Whether another process of this scheduler is alive."""
        return bool(self._others)

    def _older(self) -> list[OtherProcess]:
        return [other for other in self._others if other.token < self._directory.token]

    def _publish_phase(self, phase: Phase) -> None:
        self._phase = phase
        try:
            self._directory.publish_phase(phase)
        except OSError as wrong:
            self._log.error("shared-directory", str(wrong))

    async def _poll(self) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            self._check_others()

    def _check_others(self) -> None:
        """Read the phases of the other processes and react to changes."""
        try:
            self._others = self._directory.others()
            for other in self._others:
                if other.token > self._directory.token and other.token not in self._handed_over:
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
        if bool(self._others) is not self._sharing:
            self._sharing = bool(self._others)
            self._update_sharing()
        for act in self.after_poll:
            act()

    def _spends_cold_budget(self) -> bool:
        """Return whether this process may use the budget for cold workers.

        Only the oldest process that is not draining may use it."""
        if self._phase is Phase.DRAINING:
            return False
        return all(other.phase is Phase.DRAINING for other in self._older())

    def _hand_over(self, other: OtherProcess) -> None:
        """Write the handover for a newer process.

        From here on this process claims job ids in the shared directory; it does so before it lists the known
        ids, so that no job id is missing from both."""
        self._handed_over.add(other.token)
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
        self._log.notice(
            "handed-over",
            "the state was handed over to a newer process of this scheduler",
            process=other.token,
        )

    def _update_sharing(self) -> None:
        """Switch between sharing and sole use when the first other process appears or the last one ends."""
        self.shared(self._sharing)
        if self._claims is not None:
            self._claims.cancel()
            self._claims = None
        if self._sharing:
            self._ids.elsewhere = self._directory.claim
            return
        self._log.notice("alone", "no other process of this scheduler is running any more")
        self._ids.elsewhere = self._directory.unclaimed
        self._claims = asyncio.get_running_loop().call_later(CLAIMS_KEPT_S, self._forget_claims)

    def _forget_claims(self) -> None:
        self._ids.elsewhere = None
        self._directory.clear_claims()
