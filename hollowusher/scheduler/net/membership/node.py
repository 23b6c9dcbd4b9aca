"""One member behind a UDP socket: datagrams in, datagrams out, one timer.

All judgement is the member's (rules/membership).  Names are resolved here: by the configured addresses, else
by the one a member names itself, else by where it was heard from.  So an address that is only ours to use (on
the platform each scheduler has its own for every other) is never passed on.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from collections import Counter
from collections.abc import Callable, Mapping

from hollowusher.scheduler.component import NoDrain
from hollowusher.scheduler.net.membership.settings import PeersConfig
from hollowusher.scheduler.rules.membership.budget import Budget
from hollowusher.scheduler.rules.membership.codec import MAGIC, DatagramCodec
from hollowusher.scheduler.rules.membership.events import MembershipEvent
from hollowusher.scheduler.rules.membership.member import SwimMember
from hollowusher.scheduler.rules.membership.messages import MAX_PROCESS_ID, Message
from hollowusher.scheduler.rules.membership.pace import MembershipTiming

Address = tuple[str, int]
MOST_HEARD = 1024  # names whose address is remembered from their datagrams


class PeerNode(NoDrain, asyncio.DatagramProtocol):
    """Started, stopped and asked for a report like every part with a life of its own.

    `most_per_s` bounds what is sent: beyond it a message is dropped and counted, which the protocol bears as
    a loss.  `reported` is called with each change of the view.
    """

    name = "members"

    def __init__(
        self,
        name: str,
        listen: Address,
        peers: Mapping[str, Address],
        cluster: str,
        seed: int,
        reported: Callable[[MembershipEvent], None],
        pace: MembershipTiming | None = None,
        most_per_s: float = 200.0,
        address: str = "",
    ) -> None:
        self._listen, self._peers, self._reported = listen, dict(peers), reported
        self.budget = Budget(most_per_s, time.monotonic_ns())
        self.codec = DatagramCodec(cluster)
        chance = random.Random(seed)
        # A process that starts without a disk: the wall clock's seconds are above what it had, mostly.
        self.member = SwimMember(
            name,
            chance.randrange(MAX_PROCESS_ID),
            int(time.time()),
            self._peers,
            pace or MembershipTiming(),
            chance,
            time.monotonic_ns(),
            address,
        )
        self.counts: Counter[str] = Counter()
        self.other: Callable[[bytes], None] | None = None  # who takes what is not membership's
        self._heard: dict[str, Address] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Bind, and begin to call at the others."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self._listen)
        self._step(None)

    async def stop(self) -> None:
        """Say that we leave, and close."""
        self.member.leave(time.monotonic_ns())
        self._send()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def report(self) -> dict[str, object]:
        """What people on call ask for."""
        member, now = self.member, time.monotonic_ns()
        rows = {
            name: {
                "standing": r.update.standing.name.lower(),
                "incarnation": r.update.incarnation,
                "life": f"{r.update.process_id:08x}",
                "heard_s": round((now - r.heard_at) / 1e9, 2),
                "accusers": sorted(r.suspicion.accusers) if r.suspicion is not None else [],
            }
            for name, r in sorted(member.records.items())
        }
        return {
            "name": member.me.name,
            "number": member.number,
            "present": member.present(),
            "suspect": sorted(n for n, r in member.records.items() if r.suspicion is not None),
            "configured": sorted(member.contacts),
            "rows": rows,
            "minority": member.minority,
            "deaf": member.deaf,
            "health": member.health,
            "counts": {**self.counts, **{f"bad-{why}": n for why, n in self.codec.bad.items()}},
        }

    def follow(self, config: PeersConfig) -> None:
        """Other names or addresses are configured from now on; our own place stays what it was."""
        self._peers = dict(config.peers)
        self.member.set_contacts(time.monotonic_ns(), self._peers)
        self._step(None)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """One datagram; what cannot be read is counted and costs nothing else."""
        self.counts["heard"] += 1
        if self.other is not None and not data.startswith(MAGIC):
            self.other(data)
            return
        message = self.codec.decode(data)
        if message is None:
            return
        name = message.sender.name
        if name in self._heard or len(self._heard) < MOST_HEARD:
            self._heard[name] = addr
        self._step(message)

    def send_other(self, name: str, data: bytes) -> None:
        """Send another part's datagram to a member, if it is known where that is."""
        address = self._where(name)
        if address is not None and self._transport is not None:
            self.counts["sent-other"] += 1
            self._transport.sendto(data, address)

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there: a member that is not there is found by its silence."""
        self.counts["refused"] += 1

    def _step(self, message: Message | None) -> None:
        if self._transport is None:
            return
        now = time.monotonic_ns()
        self.member.step(now, message)
        for reported in self.member.reported:
            self._reported(reported)
        self.member.reported = []
        self._send()
        if self._timer is not None:
            self._timer.cancel()
        wait_s = max(0.0, (self.member.due() - time.monotonic_ns()) / 1e9)
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._step, None)

    def _send(self) -> None:
        sends, self.member.sends = self.member.sends, []
        now = time.monotonic_ns()
        for name, message in sends:
            address = self._where(name)
            if address is None or self._transport is None:
                self.counts["nowhere"] += 1
            elif not self.budget.try_acquire(now):
                self.counts["over-budget"] += 1
            else:
                self.counts["sent"] += 1
                data = self.codec.encode(message)
                self.counts["sent-bytes"] += len(data)
                self._transport.sendto(data, address)

    def _where(self, name: str) -> Address | None:
        if name in self._peers:
            return self._peers[name]
        record = self.member.records.get(name)
        host, _, port = record.update.address.rpartition(":") if record is not None else ("", "", "")
        with contextlib.suppress(OSError, ValueError):  # what a member says of itself may be anything
            socket.inet_pton(socket.AF_INET, host)
            if 0 < int(port) < 65_536:
                return host, int(port)
        return self._heard.get(name)
