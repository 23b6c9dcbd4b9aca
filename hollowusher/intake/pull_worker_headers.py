"""The meaning of the headers that pull workers send, and of the lease ids given to them.  No I/O."""

from __future__ import annotations

import xxhash

INSTANCE_ID = "X-Instance-Id"
WAIT = "X-Wait-Ms"
LEASE_ID = "X-Lease-Id"
JOB_METHOD = "X-Job-Method"
JOB_PATH = "X-Job-Path"
JOB_RESULT = "X-Job-Result"
SIGNATURE = "X-Server-Signature"

NOT_RUN_RESULTS = ("503", "429", "400")


def worker_lease_id(lease: str, message_id: str) -> str:
    """The lease id given to a worker: the store's, with a digest of the message's id."""
    digest = xxhash.xxh64_hexdigest(message_id.encode(errors="replace"))
    return f"{lease}.{digest}"


def store_lease_id(worker_lease: str, message_id: str) -> str | None:
    """The store's lease id of what a worker sent, None if it does not belong to this message."""
    lease = worker_lease.partition(".")[0]
    return lease if lease and worker_lease == worker_lease_id(lease, message_id) else None


def finish_result(status: str, signature: str) -> str:
    """The `Finish.result` of a worker's X-Job-Result.

    Only a 500 is a failed attempt and only a 422 a refusal for good; any other end leaves open whether the
    job ran, and does not count as an attempt."""
    status = status.strip()
    if len(status) == 3 and status.startswith("2") and status.isdigit() and signature:
        return "success"
    if status == "500":
        return "failed"
    if status == "422":
        return "refused"
    return "not_run" if status in NOT_RUN_RESULTS else "unknown"
