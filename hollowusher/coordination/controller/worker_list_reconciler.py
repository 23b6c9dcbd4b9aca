"""Decision which workers are in the list after a complete read.  No I/O, no clock."""

from __future__ import annotations

from hollowusher.protocol.worker_list import PlatformWorker


class WorkerListReconciler:
    """Turns complete reads into the accepted list of workers.

    The list may shift between two pages, so that a read of several pages misses a worker: one that is absent
    from such a read stays for one more.  An empty list replaces a known one only after two reads in a row.
    """

    def __init__(self) -> None:
        self._accepted: dict[str, PlatformWorker] = {}
        self._absent_once: set[str] = set()
        self._empty_reads = 0

    def reconcile(self, workers: list[PlatformWorker], pages: int) -> list[PlatformWorker] | None:
        """Return the list after a complete read of that many pages; None where it is not accepted yet."""
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
