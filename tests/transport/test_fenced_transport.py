"""A process that has been fenced on a matter sends no more requests on it under an older epoch."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from hollowusher.protocol.consensus import ConfirmEpoch, EpochConfirmed, Ping, Pong
from hollowusher.protocol.control_chain import ChainWrite, ChainWritten, ControlState
from hollowusher.protocol.fencing import (
    CONTROL_CHAIN,
    FencingToken,
    fencing_tokens,
    partition_matter,
    rejecting_tokens,
)
from hollowusher.protocol.replication import (
    RecordBatch,
    ReplicaDifference,
    ReplicaSummary,
    ReplicateRequest,
    ReplicateResponse,
)
from hollowusher.simulation.fencing_judge import STEP_DOWN_S, FencingJudge
from hollowusher.transport.fenced_transport import FencedError, FencedTransport

STATE = ControlState(sequence=1, generation=1, document=b"", history=[])
WRITE = ChainWrite(5, STATE)
REPLICATE = ReplicateRequest("s/1", [RecordBatch(1, 5, []), RecordBatch(2, 9, [])], durable=True)
SUMMARY = ReplicaSummary(3, 5, "s/1", [], {})

REJECTIONS = [
    (WRITE, ChainWritten(False, 6), [FencingToken(CONTROL_CHAIN, 6)]),
    (ConfirmEpoch(5), EpochConfirmed(False, 7), [FencingToken(CONTROL_CHAIN, 7)]),
    (REPLICATE, ReplicateResponse({1: 6}), [FencingToken(partition_matter(1), 6)]),
    (SUMMARY, ReplicaDifference("stale", 8), [FencingToken(partition_matter(3), 8)]),
]
NO_REJECTIONS = [
    (WRITE, ChainWritten(True, 5)),
    (WRITE, ChainWritten(False, 5, unreachable="c")),
    (WRITE, ChainWritten(False, 4)),  # the receiver has an older epoch
    (WRITE, ChainWritten(False, 0)),  # the receiver belongs to another cluster
    (ConfirmEpoch(5), EpochConfirmed(True, 5)),
    (REPLICATE, ReplicateResponse({})),
    (REPLICATE, ReplicateResponse({1: 4, 2: 9})),
    (SUMMARY, ReplicaDifference("ok", 8)),
    (Ping("a", 5), Pong("b", "disk", 9, complete=True, heard=[])),
]


class Peer:
    """A transport that returns the given responses in order."""

    address = "10.0.0.1:1"

    def __init__(self, *answers: Any) -> None:
        self.answers = list(answers)
        self.sent: list[Any] = []

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        self.sent.append(message)
        return self.answers.pop(0)


@pytest.mark.parametrize(("message", "answer", "tokens"), REJECTIONS)
def test_a_response_with_a_higher_epoch_is_recognized(message: Any, answer: Any, tokens: Any) -> None:
    assert rejecting_tokens(message, answer) == tokens


@pytest.mark.parametrize(("message", "answer"), NO_REJECTIONS)
def test_other_responses_do_not_fence(message: Any, answer: Any) -> None:
    assert rejecting_tokens(message, answer) == []


@pytest.mark.parametrize(("message", "answer", "tokens"), REJECTIONS)
def test_no_request_is_sent_after_a_rejection(message: Any, answer: Any, tokens: Any) -> None:
    async def run_scenario() -> None:
        fenced: list[tuple[FencingToken, str]] = []
        peer = Peer(answer)
        transport = FencedTransport(peer, lambda token, address: fenced.append((token, address)))  # type: ignore[arg-type]
        assert await transport.call("10.0.0.2:1", message, 1.0) is answer
        assert fenced == [(token, "10.0.0.2:1") for token in tokens]
        for _ in range(5):
            with pytest.raises(FencedError) as caught:
                await transport.call("10.0.0.3:1", message, 1.0)
            assert caught.value.token == tokens[0]
            assert not caught.value.sent
        assert len(peer.sent) == 1

    asyncio.run(run_scenario())


def test_requests_with_the_fencing_epoch_or_on_other_matters_are_sent() -> None:
    async def run_scenario() -> None:
        done = ChainWritten(True, 6)
        peer = Peer(ChainWritten(False, 6), done, ReplicateResponse({}))
        transport = FencedTransport(peer, lambda token, address: None)  # type: ignore[arg-type]
        await transport.call("10.0.0.2:1", WRITE, 1.0)
        assert await transport.call("10.0.0.2:1", ChainWrite(6, STATE), 1.0) is done
        await transport.call("10.0.0.2:1", REPLICATE, 1.0)
        assert len(peer.sent) == 3

    asyncio.run(run_scenario())


def test_a_late_rejection_with_an_older_epoch_does_not_lower_the_fence() -> None:
    transport = FencedTransport(Peer(), lambda token, address: None)  # type: ignore[arg-type]
    assert transport.fences.record(FencingToken(CONTROL_CHAIN, 9))
    assert not transport.fences.record(FencingToken(CONTROL_CHAIN, 7))
    assert transport.fences.fence_of(FencingToken(CONTROL_CHAIN, 8)) == FencingToken(CONTROL_CHAIN, 9)


def test_the_judge_reports_a_caller_that_continues_after_its_rejection() -> None:
    judge = FencingJudge()
    judge.on_request("store-1#1", REPLICATE, 1.0)
    judge.on_answer("store-1#1", REPLICATE, ReplicateResponse({1: 6}), 1.1)
    judge.on_request("store-1#1", REPLICATE, 1.1 + STEP_DOWN_S)
    judge.on_request("store-1#2", REPLICATE, 9.0)  # a later incarnation has not seen the rejection
    assert judge.found == []
    judge.on_request("store-1#1", REPLICATE, 1.2 + STEP_DOWN_S)
    (found,) = judge.found
    assert (found.matter, found.epoch, found.caller) == (partition_matter(1), 5, "store-1#1")


def test_requests_without_an_epoch_carry_no_token() -> None:
    assert list(fencing_tokens(Ping("a", 5))) == []
