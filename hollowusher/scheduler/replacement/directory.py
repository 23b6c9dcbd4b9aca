"""The directory that all processes of one scheduler share, and who of them lives."""

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
class Other:
    """Another living process of this scheduler."""

    token: str
    phase: Phase


def make_token() -> str:
    """A name for this process that sorts by its start."""
    return f"{time.monotonic_ns():020d}-{os.getpid()}"


class SharedDirectory:
    """One scheduler's directory below `$TMPDIR`, as one of its processes sees it."""

    def __init__(self, root: Path, listen: tuple[str, int], token: str = "") -> None:
        self.listen = f"{listen[0]}:{listen[1]}"
        self.token = token or make_token()
        self.path = root / f"hollowusher-{quote(listen[0], safe='')}_{listen[1]}"
        self._claims, self._bans = self.path / "claims", self.path / "bans"
        self._lock: int | None = None

    def enter(self) -> None:
        """Show that this process lives; OSError where the directory cannot be used."""
        self._claims.mkdir(parents=True, exist_ok=True)
        self._bans.mkdir(exist_ok=True)
        lock = self._file(self.token, LOCK)
        unlocked = lock.with_name(f".{lock.name}")  # it gets its name with the lock held: none sees it free
        self._lock = os.open(unlocked, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self.tell(Phase.STARTING)
        unlocked.rename(lock)

    def leave(self) -> None:
        """This process ends."""
        if self._lock is not None:
            self._remove(self.token)
            os.close(self._lock)
            self._lock = None

    def tell(self, phase: Phase) -> None:
        """What this process does from now on."""
        write_record(self._file(self.token, PROCESS), ProcessRecord(self.listen, phase))

    def others(self) -> list[Other]:
        """The other processes that live, the oldest first.  What the dead left is removed."""
        found = []
        with os.scandir(self.path) as entries:
            names = [entry.name for entry in entries]
        for name in sorted(names):
            token = name.removesuffix(LOCK)
            if token == name or name.startswith(".") or token == self.token:
                continue
            if self._is_alive(token):
                found.append(Other(token, self._phase(token)))
            else:
                self._remove(token)
        return found

    def _is_alive(self, token: str) -> bool:
        try:
            lock = os.open(self._file(token, LOCK), os.O_RDWR | os.O_CLOEXEC)
        except FileNotFoundError:
            return False
        except OSError:
            return True  # for want of a descriptor here: nothing shows that it is gone
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
        """Leave for the process with this token what it needs."""
        write_record(self._file(token, HANDOVER), handover)

    def handover(self) -> Handover | None:
        """What an older process has left for this one; RecordError where that cannot be used."""
        path = self._file(self.token, HANDOVER)
        if not path.exists():
            return None
        record = read_record(path, Handover)
        if record.listen != self.listen:
            raise RecordError(f"{path.name}: of another scheduler")
        return record

    def claim(self, job_id: str) -> bool:
        """Take a job id for this process; False where a process has taken it before."""
        flags = os.O_CREAT | os.O_EXCL | os.O_WRONLY | os.O_CLOEXEC
        try:
            os.close(os.open(self._claim_file(job_id), flags, 0o600))
        except FileExistsError:
            return False
        except OSError:
            return True  # no room for the file: a job must not be lost for it
        return True

    def unclaimed(self, job_id: str) -> bool:
        """Whether no process has taken a job id while two lived."""
        return not self._claim_file(job_id).exists()

    def clear_claims(self) -> None:
        """What was taken while two processes lived lies long enough ago."""
        for path in self._claims.iterdir():
            with contextlib.suppress(OSError):
                path.unlink()

    def banned(self) -> frozenset[str]:
        """The workers that are out by hand."""
        with os.scandir(self._bans) as entries:
            return frozenset(unquote(e.name.removeprefix("w-")) for e in entries if e.name.startswith("w-"))

    def ban(self, worker: str) -> None:
        """Note that a worker is out by hand; OSError where that fails."""
        self._ban_file(worker).touch(mode=0o600)

    def lift(self, worker: str) -> None:
        """Note that a worker may serve again; OSError where that fails."""
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
