"""A comparison with a peer that is interrupted: by the stop of the store, or by the loss of the peer.

A stopping store cancels its comparisons.  A cancelled comparison must not start new tasks.
"""

from __future__ import annotations

from collections.abc import Coroutine, Generator
from types import SimpleNamespace
from typing import Any, cast

import pytest

from hollowusher.messages.records import MessageKey
from hollowusher.messages.replication import replica_recovery as recovery
from hollowusher.messages.replication.anti_entropy import Unpaced
from hollowusher.messages.replication.catch_up_pacing import CatchUpLimits
from hollowusher.messages.replication.partition_replica import PartitionReplica, PeerProgress
from hollowusher.messages.replication.partition_replicator import PartitionReplicator
from hollowusher.messages.replication.replica_recovery import ReplicaRecovery
from hollowusher.transport.interface import PeerError


class _Pause:
    """Awaitable that suspends its task once."""

    def __await__(self) -> Generator[None, None, None]:
        yield


class _InterruptedSession:
    """A comparison that has merged a record of one key, then suspends, and then loses its peer."""

    def __init__(self, *_: object) -> None:
        self.changed_keys: list[MessageKey] = [(1, 1)]

    async def run(self) -> None:
        await _Pause()
        raise PeerError("Compare", "peer", "gone")


class _Store:
    """A store that leads partition 0 with two peers, and records the tasks that its recovery starts."""

    def __init__(self) -> None:
        self.started_tasks: list[Coroutine[Any, Any, Any]] = []
        progress_by_peer = {"peer": PeerProgress(), "other": PeerProgress()}
        self.replica = SimpleNamespace(
            epoch=1, is_epoch_durable=True, peer_progress=progress_by_peer, table=None, primary=None
        )
        replicator = SimpleNamespace(
            replicas={0: self.replica},
            dependencies=None,
            catch_up_limits=CatchUpLimits(1e6, 4.2),
            start_task=self._start_task,
        )
        self.recovery = ReplicaRecovery(cast(PartitionReplicator, replicator), lambda: 0.5)

    def compare(self) -> Coroutine[Any, Any, bool]:
        return self.recovery._compare(cast(PartitionReplica, self.replica), "peer", "address", Unpaced())

    def _start_task(self, work: Coroutine[Any, Any, Any]) -> None:
        self.started_tasks.append(work)
        work.close()


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch) -> _Store:
    monkeypatch.setattr(recovery, "AntiEntropySession", _InterruptedSession)
    return _Store()


def test_cancelled_comparison_starts_no_recovery(store: _Store) -> None:
    work = store.compare()
    work.send(None)
    work.close()
    assert store.started_tasks == []


def test_failed_comparison_keeps_received_records(store: _Store) -> None:
    work = store.compare()
    work.send(None)
    with pytest.raises(PeerError):
        work.send(None)
    assert (
        len(store.started_tasks) == 2
    )  # both peers need recovery: one was lost, and the other lacks the received record
