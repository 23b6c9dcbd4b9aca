"""Reconciliation of complete reads of the worker list.  The module performs no I/O and reads no clock."""

from __future__ import annotations

from hollowusher.protocol.worker_list import PlatformWorker


class WorkerListReconciler:
    """Derives the accepted worker list from consecutive complete reads.

    The list may change between the requests for two pages, so a read of several pages can miss a worker.  A
    worker that is absent from such a read therefore stays in the list until the next read.  An empty result
    replaces a non-empty list only after two consecutive empty reads.
    """

    def __init__(self) -> None:
        self._accepted: dict[str, PlatformWorker] = {}
        self._absent_once: set[str] = set()
        self._empty_reads = 0

    def reconcile(self, workers: list[PlatformWorker], pages: int) -> list[PlatformWorker] | None:
        """Return the accepted list after a complete read of `pages` pages.

        Return None if the read is empty and the reconciler does not accept that yet.
        """
        read = {worker.id: worker for worker in workers}
        self._empty_reads = 0 if read else self._empty_reads + 1
        if self._empty_reads == 1 and self._accepted:
            return None
        absent = {worker_id for worker_id in self._accepted if worker_id not in read}
        retained = absent - self._absent_once if pages > 1 else set()
        for worker_id in retained:
            read[worker_id] = self._accepted[worker_id]
        self._absent_once = retained
        self._accepted = read
        return [read[worker_id] for worker_id in sorted(read)]
