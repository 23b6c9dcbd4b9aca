"""The end of a store in the middle of a comparison with a peer begins nothing new."""

from __future__ import annotations

from collections.abc import Coroutine, Generator
from types import SimpleNamespace
from typing import Any, cast

import pytest

from hollowusher.messages import recovery
from hollowusher.messages.hosting import PartitionHost, PeerLink
from hollowusher.messages.records import Key
from hollowusher.messages.recovery import Recovery
from hollowusher.messages.replicator import Replicator
from hollowusher.transport.interface import PeerError


class _Pause:
    """Awaited: gives up control once."""

    def __await__(self) -> Generator[None, None, None]:
        yield


class _HalfDone:
    """A comparison that has learnt of one key and then waits, or loses its peer."""

    def __init__(self, *_: object) -> None:
        self.changed: list[Key] = [(1, 1)]

    async def run(self) -> None:
        await _Pause()
        raise PeerError("Compare", "peer", "gone")


class _Store:
    """A store whose partition 0 is led here with one peer to recover; it counts the work that it begins."""

    def __init__(self) -> None:
        self.begun: list[Coroutine[Any, Any, Any]] = []
        links = {"peer": PeerLink(), "other": PeerLink()}
        self.host = SimpleNamespace(epoch=1, promised=True, links=links, table=None, primary=None)
        replicator = SimpleNamespace(
            hosts={0: self.host}, store_id="me", transport=None, log=None, wall_ms=None, run=self._begin
        )
        self.recovery = Recovery(cast(Replicator, replicator), lambda: 0.5)

    def compare(self) -> Coroutine[Any, Any, bool]:
        return self.recovery._compare(cast(PartitionHost, self.host), "peer", "address", False)

    def _begin(self, work: Coroutine[Any, Any, Any]) -> None:
        self.begun.append(work)
        work.close()


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch) -> _Store:
    monkeypatch.setattr(recovery, "Comparison", _HalfDone)
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
