"""Seeded inputs to the decoders of datagrams and frames: whatever comes is read or counted.

python -m benchmarks.decoders [--inputs 1000000] [--seed 1]
"""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import Callable

import click

from hollowusher.scheduler.net.log_replication.wire import Frames, frame
from hollowusher.scheduler.rules.log_replication.messages import Append, LogEntry
from hollowusher.scheduler.rules.membership import codec as members
from hollowusher.scheduler.rules.membership.messages import MemberUpdate, Message, MessageKind
from hollowusher.scheduler.rules.shared_state import wire as shared
from hollowusher.scheduler.rules.shared_state.counts import CountUpdate
from hollowusher.scheduler.rules.shared_state.judgements import NodeObservation

HEAD, SUM_AT = 11, 7  # bytes of a datagram's head, and where its checksum stands


def changed(chance: random.Random, data: bytes) -> bytes:
    """A good input with some bytes changed, cut off or added."""
    new = bytearray(data)
    for _ in range(chance.randint(1, 4)):
        what = chance.random()
        if what < 0.6 and new:
            new[chance.randrange(len(new))] = chance.randrange(256)
        elif what < 0.8:
            del new[chance.randrange(len(new) + 1) :]
        else:
            new += chance.randbytes(chance.randint(1, 20))
    return bytes(new)


def feed(
    chance: random.Random,
    inputs: int,
    good: bytes,
    read: Callable[[bytes], object],
    sums: Callable[[bytes], int],
) -> int:
    """How many of so many inputs were read as messages."""
    found = 0
    for number in range(inputs):
        data = changed(chance, good) if number % 2 else chance.randbytes(chance.randint(0, 300))
        if number % 4 == 1 and len(data) > HEAD:  # a checksum that fits, so that the body is read
            data = data[:SUM_AT] + sums(data[HEAD:]).to_bytes(4, "big") + data[HEAD:]
        found += read(data) is not None
    return found


@click.command()
@click.option("--inputs", default=1_000_000)
@click.option("--seed", default=1)
def main(inputs: int, seed: int) -> None:
    """Feed them; an exception ends it with a traceback."""
    chance, began = random.Random(seed), time.monotonic()
    one = members.DatagramCodec("depot")
    good = one.encode(
        Message(MessageKind.PING, MemberUpdate("n1", 7, 9), 3, 4, "n2", (MemberUpdate("n3", 1, 2),))
    )
    click.echo(f"members: {feed(chance, inputs, good, one.decode, one._sum)} read, {dict(one.bad)}")
    two = shared.SharedStateCodec("depot")
    good = two.encode_datagrams(
        "n1", [CountUpdate("n1", 1, 2, {"a": 1.0}), NodeObservation("n1", 1, 1, "s1", 1.0)], 2
    )[0]
    click.echo(f"shared: {feed(chance, inputs, good, two.decode, two._sum)} read, {dict(two.bad)}")
    good, read = frame(Append("n0", 1, 2, 1, (LogEntry(1, bytes(50)),), 0, 5)), 0
    for _ in range(inputs // 5):
        with contextlib.suppress(ValueError):
            read += len(Frames().feed(changed(chance, good)))
    click.echo(f"copies: {read} read of {inputs // 5}; {time.monotonic() - began:.1f} s")


if __name__ == "__main__":
    main()
