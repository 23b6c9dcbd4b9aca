"""The directory that all processes of one scheduler share, and the locks that show which are alive."""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import quote, unquote

import xxhash

from hollowusher.scheduler.replacement.records import (
    Handover,
    Phase,
    ProcessRecord,
    RecordError,
    read_record,
    write_record,
)

LOCK, PROCESS, HANDOVER = ".lock", ".process", ".handover"


@dataclass(frozen=True, slots=True)
class OtherProcess:
    """Another living process of this scheduler."""

    token: str
    phase: Phase


def make_token() -> str:
    """Return a unique name for this process; names sort by the start time of their processes."""
    return f"{time.monotonic_ns():020d}-{os.getpid()}"


class SharedDirectory:
    """The shared directory of one scheduler below `$TMPDIR`, as used by one process.

    A process is alive while it holds the lock on its lock file."""

    def __init__(self, root: Path, listen: tuple[str, int], token: str = "") -> None:
        self.listen = f"{listen[0]}:{listen[1]}"
        self.token = token or make_token()
        self.path = root / f"hollowusher-{quote(listen[0], safe='')}_{listen[1]}"
        self._claims, self._bans = self.path / "claims", self.path / "bans"
        self._lock: int | None = None

    def enter(self) -> None:
        """Create the directory and the locked lock file of this process; raises OSError if that fails."""
        self._claims.mkdir(parents=True, exist_ok=True)
        self._bans.mkdir(exist_ok=True)
        lock = self._file(self.token, LOCK)
        # The file is locked before it gets its final name, so that no other process finds it unlocked.
        unlocked = lock.with_name(f".{lock.name}")
        self._lock = os.open(unlocked, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self.publish_phase(Phase.STARTING)
        unlocked.rename(lock)

    def leave(self) -> None:
        """Remove the files of this process and release its lock."""
        if self._lock is not None:
            self._remove(self.token)
            os.close(self._lock)
            self._lock = None

    def publish_phase(self, phase: Phase) -> None:
        """Write the phase of this process for the other processes; raises OSError if that fails."""
        write_record(self._file(self.token, PROCESS), ProcessRecord(self.listen, phase))

    def others(self) -> list[OtherProcess]:
        """Return the other living processes, oldest first, and remove the files of dead processes."""
        found = []
        with os.scandir(self.path) as entries:
            names = [entry.name for entry in entries]
        for name in sorted(names):
            token = name.removesuffix(LOCK)
            if token == name or name.startswith(".") or token == self.token:
                continue
            if self._is_alive(token):
                found.append(OtherProcess(token, self._phase(token)))
            else:
                self._remove(token)
        return found

    def _is_alive(self, token: str) -> bool:
        try:
            lock = os.open(self._file(token, LOCK), os.O_RDWR | os.O_CLOEXEC)
        except FileNotFoundError:
            return False
        except OSError:
            return True  # for example no free descriptor; counts as alive
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(lock)
        return False

    def _phase(self, token: str) -> Phase:
        try:
            record = read_record(self._file(token, PROCESS), ProcessRecord)
        except RecordError:
            return Phase.UNKNOWN
        return record.phase if record.listen == self.listen else Phase.UNKNOWN

    def hand_over(self, token: str, handover: Handover) -> None:
        """Write the handover for the process with this token; raises OSError if that fails."""
        write_record(self._file(token, HANDOVER), handover)

    def handover(self) -> Handover | None:
        """Return the handover that an older process wrote for this process, or None if there is none.

        Raises RecordError if the handover is invalid."""
        path = self._file(self.token, HANDOVER)
        if not path.exists():
            return None
        record = read_record(path, Handover)
        if record.listen != self.listen:
            raise RecordError(f"{path.name}: the record belongs to another scheduler")
        return record

    def claim(self, job_id: str) -> bool:
        """Claim a job id for this process; returns False if a process has already claimed the id."""
        flags = os.O_CREAT | os.O_EXCL | os.O_WRONLY | os.O_CLOEXEC
        try:
            os.close(os.open(self._claim_file(job_id), flags, 0o600))
        except FileExistsError:
            return False
        except OSError:
            return True  # the file cannot be created, for example on a full disk; accept the job
        return True

    def unclaimed(self, job_id: str) -> bool:
        """Return whether no process claimed this job id while two processes were alive."""
        return not self._claim_file(job_id).exists()

    def clear_claims(self) -> None:
        """Remove all claims; called once they have been kept long enough after the other process ended."""
        for path in self._claims.iterdir():
            with contextlib.suppress(OSError):
                path.unlink()

    def banned(self) -> frozenset[str]:
        """Return the ids of the workers that operators detached."""
        with os.scandir(self._bans) as entries:
            return frozenset(unquote(e.name.removeprefix("w-")) for e in entries if e.name.startswith("w-"))

    def ban(self, worker: str) -> None:
        """Store that an operator detached this worker; raises OSError if that fails."""
        self._ban_file(worker).touch(mode=0o600)

    def lift(self, worker: str) -> None:
        """Store that this worker is attached again; raises OSError if that fails."""
        self._ban_file(worker).unlink(missing_ok=True)

    def _claim_file(self, job_id: str) -> Path:
        return self._claims / xxhash.xxh64_hexdigest(job_id.encode())

    def _ban_file(self, worker: str) -> Path:
        return self._bans / f"w-{quote(worker, safe='')}"

    def _file(self, token: str, kind: str) -> Path:
        return self.path / f"{token}{kind}"

    def _remove(self, token: str) -> None:
        for kind in (HANDOVER, PROCESS, LOCK):
            with contextlib.suppress(OSError):
                self._file(token, kind).unlink()
