"""One scheduler of the rig: the program, with a wall clock that is so many seconds ahead (or behind)."""

from __future__ import annotations

import ctypes
import os
import signal
import sys
import time

from hollowusher.scheduler.app import run

CLOCK = "HOLLOWUSHER_RIG_CLOCK"  # seconds

PR_SET_PDEATHSIG = 1  # prctl(2)

if __name__ == "__main__":
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)  # a rig that dies leaves nobody behind
    if ahead := float(os.environ.get(CLOCK, "0")):
        true_time = time.time
        time.time = lambda: true_time() + ahead
    sys.exit(run())
