"""Workers that operators have taken out by hand: nothing new goes to them until they are called back."""

from __future__ import annotations

from collections.abc import Callable

from hollowusher.scheduler.dispatch.model import DispatchEvent
from hollowusher.scheduler.dispatch.worker_registry import WorkerRegistry
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.replacement.directory import SharedDirectory


class DetachedWorkers:
    """Kept in the shared directory where there is one, so that they outlive this process."""

    def __init__(
        self,
        registry: WorkerRegistry,
        directory: SharedDirectory | None,
        post: Callable[[DispatchEvent], None],
        leaving: Callable[[int], None],
        log: LogWriter,
    ) -> None:
        """`leaving` is called with each worker to which nothing new may go from now on."""
        self._registry, self._directory = registry, directory
        self._post, self._leaving, self._log = post, leaving, log

    @property
    def names(self) -> frozenset[str]:
        """The ids of the workers that are out."""
        return self._registry.detached

    def detach(self, name: str) -> bool:
        """Nothing new goes to this worker; False where nobody has this id.  OSError where that cannot be
        noted."""
        if not self._known(name):
            return False
        if self._directory is not None:
            self._directory.ban(name)
        self._take(self.names | {name})
        return True

    def attach(self, name: str) -> bool:
        """This worker may serve again, however often it was detached; False where nobody has this id."""
        if not self._known(name):
            return False
        if self._directory is not None:
            self._directory.lift(name)
        self._take(self.names - {name})
        return True

    def refresh(self) -> None:
        """Take what another process of this scheduler has been told."""
        if self._directory is not None:
            try:
                self._take(self._directory.banned())
            except OSError as wrong:
                self._log.error("shared-directory", str(wrong))

    def _known(self, name: str) -> bool:
        return name in self.names or self._registry.by_name(name) is not None

    def _take(self, names: frozenset[str]) -> None:
        out, back = names - self.names, self.names - names
        if not out and not back:
            return
        self._registry.detached = names
        for name in sorted(out):
            self._log.notice("worker-detached", "out by hand: nothing new goes there", worker=name)
            if (worker := self._registry.by_name(name)) is not None:
                self._leaving(worker.entry.worker)
        for name in sorted(back):
            self._log.notice("worker-attached", "it may serve again", worker=name)
        self._post(self._registry.cached_list())
