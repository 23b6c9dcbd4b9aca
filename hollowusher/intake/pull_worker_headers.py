"""Headers and paths of the pull workers' calls, and the encoding of lease ids for them.  No I/O."""

from __future__ import annotations

from urllib.parse import unquote

import xxhash

INSTANCE_ID = "X-Instance-Id"
WAIT = "X-Wait-Ms"
LEASE_ID = "X-Lease-Id"
JOB_METHOD = "X-Job-Method"
JOB_PATH = "X-Job-Path"
JOB_RESULT = "X-Job-Result"
SIGNATURE = "X-Server-Signature"

NOT_RUN_RESULTS = ("503", "429", "400")


def decoded_name(segment: str) -> str:
    """Return the name in the last part of a call's path, without query and percent-encoding."""
    return unquote(segment.partition("?")[0])


def worker_lease_id(lease: str, message_id: str) -> str:
    """Return the lease id to give to a worker: the store's lease id with a digest of the message id."""
    digest = xxhash.xxh64_hexdigest(message_id.encode(errors="replace"))
    return f"{lease}.{digest}"


def store_lease_id(worker_lease: str, message_id: str) -> str | None:
    """Return the store's lease id for a worker's lease id, or None if it belongs to another message."""
    lease = worker_lease.partition(".")[0]
    return lease if lease and worker_lease == worker_lease_id(lease, message_id) else None


def finish_result(status: str, signature: str) -> str:
    """Return the `FinishLease.result` for the value of a worker's X-Job-Result header.

    Only a 2xx status with a signature is a success, only a 500 is a failed attempt, and only a 422 is a final
    rejection.  With 503, 429 and 400 the job did not run.  With any other value it is unknown whether the job
    ran.  Neither of the last two results counts as an attempt."""
    status = status.strip()
    if len(status) == 3 and status.startswith("2") and status.isdigit() and signature:
        return "success"
    if status == "500":
        return "failed"
    if status == "422":
        return "refused"
    return "not_run" if status in NOT_RUN_RESULTS else "unknown"
