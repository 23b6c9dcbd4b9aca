"""The end of a store in the middle of a comparison with a peer begins nothing new."""

from __future__ import annotations

from collections.abc import Coroutine, Generator
from types import SimpleNamespace
from typing import Any, cast

import pytest

from hollowusher.messages.records import MessageKey
from hollowusher.messages.replication import replica_recovery as recovery
from hollowusher.messages.replication.partition_replica import PartitionReplica, PeerProgress
from hollowusher.messages.replication.partition_replicator import PartitionReplicator
from hollowusher.messages.replication.replica_recovery import ReplicaRecovery
from hollowusher.transport.interface import PeerError


class _Pause:
    """Awaited: gives up control once."""

    def __await__(self) -> Generator[None, None, None]:
        yield


class _HalfDone:
    """A comparison that has learnt of one key and then waits, or loses its peer."""

    def __init__(self, *_: object, paced: bool) -> None:
        self.changed_keys: list[MessageKey] = [(1, 1)]

    async def run(self) -> None:
        await _Pause()
        raise PeerError("Compare", "peer", "gone")


class _Store:
    """A store whose partition 0 is led here with one peer to recover; it counts the work that it begins."""

    def __init__(self) -> None:
        self.begun: list[Coroutine[Any, Any, Any]] = []
        links = {"peer": PeerProgress(), "other": PeerProgress()}
        self.host = SimpleNamespace(
            epoch=1, is_epoch_durable=True, peer_progress=links, table=None, primary=None
        )
        replicator = SimpleNamespace(
            replicas={0: self.host},
            dependencies=None,
            start_task=self._begin,
        )
        self.recovery = ReplicaRecovery(cast(PartitionReplicator, replicator), lambda: 0.5)

    def compare(self) -> Coroutine[Any, Any, bool]:
        return self.recovery._compare(cast(PartitionReplica, self.host), "peer", "address", paced=False)

    def _begin(self, work: Coroutine[Any, Any, Any]) -> None:
        self.begun.append(work)
        work.close()


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch) -> _Store:
    monkeypatch.setattr(recovery, "AntiEntropySession", _HalfDone)
    return _Store()


def test_a_cancelled_comparison_begins_no_recovery(store: _Store) -> None:
    work = store.compare()
    work.send(None)
    work.close()
    assert store.begun == []


def test_a_comparison_that_lost_its_peer_keeps_what_it_learnt(store: _Store) -> None:
    work = store.compare()
    work.send(None)
    with pytest.raises(PeerError):
        work.send(None)
    assert len(store.begun) == 2  # both peers lack what was learnt, or were lost
