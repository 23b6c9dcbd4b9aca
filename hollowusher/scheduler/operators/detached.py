"""Workers that operators have detached: the scheduler sends them no new jobs until they are attached."""

from __future__ import annotations

from collections.abc import Callable

from hollowusher.scheduler.dispatch.model import DispatchEvent
from hollowusher.scheduler.dispatch.worker_registry import WorkerRegistry
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.replacement.directory import SharedDirectory


class DetachedWorkers:
    """The set of detached workers.  It is stored in the shared directory, if any, to survive a restart."""

    def __init__(
        self,
        registry: WorkerRegistry,
        directory: SharedDirectory | None,
        post: Callable[[DispatchEvent], None],
        leaving: Callable[[int], None],
        log: LogWriter,
    ) -> None:
        """`leaving` is called with the number of each worker that becomes detached."""
        self._registry, self._directory = registry, directory
        self._post, self._leaving, self._log = post, leaving, log

    @property
    def names(self) -> frozenset[str]:
        """The ids of the detached workers."""
        return self._registry.detached

    def detach(self, name: str) -> bool:
        """Send no new jobs to this worker; returns False if no worker has this id.

        Raises OSError if the shared directory cannot store the change."""
        if not self._is_known(name):
            return False
        if self._directory is not None:
            self._directory.ban(name)
        self._update(self.names | {name})
        return True

    def attach(self, name: str) -> bool:
        """Allow new jobs for this worker, even if it was detached several times.

        Returns False if no worker has this id; raises OSError if the change cannot be stored."""
        if not self._is_known(name):
            return False
        if self._directory is not None:
            self._directory.lift(name)
        self._update(self.names - {name})
        return True

    def refresh(self) -> None:
        """Apply the changes that operators requested from another process of this scheduler."""
        if self._directory is not None:
            try:
                self._update(self._directory.banned())
            except OSError as wrong:
                self._log.error("shared-directory", str(wrong))

    def _is_known(self, name: str) -> bool:
        return name in self.names or self._registry.by_name(name) is not None

    def _update(self, names: frozenset[str]) -> None:
        out, back = names - self.names, self.names - names
        if not out and not back:
            return
        self._registry.detached = names
        for name in sorted(out):
            self._log.notice(
                "worker-detached", "detached by an operator: no new jobs are sent to this worker", worker=name
            )
            if (worker := self._registry.by_name(name)) is not None:
                self._leaving(worker.entry.worker)
        for name in sorted(back):
            self._log.notice(
                "worker-attached", "attached by an operator: jobs are sent to this worker again", worker=name
            )
        self._post(self._registry.cached_list())
