"""Makes `data/system.tar.xz`: the data folders of a small system that was run and stopped in order.

    python -m tests.contract.make_system_data FOLDER ARCHIVE

Not a test: the archive is kept as it was written by the code that stood before the renames, and is to be made
anew only where the format of stored data changes on purpose.
"""

from __future__ import annotations

import asyncio
import lzma
import os
import signal
import sys
import tarfile
from pathlib import Path
from typing import Any

import aiohttp
import orjson

from tests.contract import names

STORE_DISK_MB = 1  # the smallest ring that the code accepts
MESSAGES = 60
DELAYED = 8  # still queued at the end
DELAY_MS = 600_000
REPEATS = 10_000  # of the body of a delayed message: so that the logs go through several segments
STABILIZE_S = 3.0
ORDER_TIMEOUT_S = 30.0
KEPT = ("disk-id", "life.0", "life.1", "view.0", "view.1")  # besides the control state and the ring
STATE_FILES = "control-*"


async def _operate(session: aiohttp.ClientSession, edge: Any) -> None:
    """Change the configuration twice and leave some messages queued."""
    admin, frontend = f"http://{edge.address('admin')}", f"http://{edge.address('frontend')}"
    async with session.get(f"{admin}/config") as answer:
        document = await answer.json()
    added = document["routes"][0] | {"name": "r-late", "pathPrefix": "/late/"}
    patch = {"generation": 2, "upsert": {"routes": [added]}}
    async with session.patch(
        f"{admin}/config", data=orjson.dumps(patch), headers={"If-Match": "1"}
    ) as answer:
        print("patch", answer.status, await answer.text())
    document["generation"] = 3
    document["limits"]["maxBodyBytes"] = 200_000
    async with session.put(
        f"{admin}/config", data=orjson.dumps(document), headers={"If-Match": "2"}
    ) as answer:
        print("put", answer.status, await answer.text())
    await asyncio.sleep(STABILIZE_S)
    for number in range(DELAYED):
        headers = {
            "Host": document["routes"][0]["hostname"],
            "X-Attempt-Id": f"late-{number}",
            "X-Deadline-Ms": "3000",
            "X-Delay-Ms": str(DELAY_MS),
        }
        path = f"{document['routes'][0]['pathPrefix']}late"
        async with session.post(
            f"{frontend}{path}", data=b"late %02d " % number * REPEATS, headers=headers
        ) as answer:
            print("delayed", answer.status, answer.headers.get("X-Message-Ref"))
    await asyncio.sleep(STABILIZE_S)


async def _run(folder: Path) -> None:
    """One run, with the operator's part once the messages have ended."""
    layouts: list[Any] = []
    kept_running = names.hook_local_system(STORE_DISK_MB, layouts.append)
    running = asyncio.ensure_future(names.run_local_system(folder, MESSAGES))
    await asyncio.wait({running, asyncio.ensure_future(kept_running.wait())}, return_when="FIRST_COMPLETED")
    if not running.done():
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            await _operate(session, layouts[0].machines[0])
        os.kill(os.getpid(), signal.SIGTERM)
    await running


def _pack(folder: Path, archive: Path) -> None:
    """The data files alone, with neutral owners and times; without rings' empty files."""
    with lzma.open(archive, "wb", preset=9) as packed, tarfile.open(fileobj=packed, mode="w") as out:
        for data in sorted(folder.glob("*/data")):
            files = [data / name for name in KEPT]
            files += sorted(data.glob(STATE_FILES)) + sorted(data.glob("ring/*.log"))
            for file in files:
                if file.exists():
                    entry = tarfile.TarInfo(str(file.relative_to(folder)))
                    entry.size = file.stat().st_size
                    with file.open("rb") as content:
                        out.addfile(entry, content)


if __name__ == "__main__":
    target = Path(sys.argv[1])
    asyncio.run(_run(target))
    _pack(target, Path(sys.argv[2]))
