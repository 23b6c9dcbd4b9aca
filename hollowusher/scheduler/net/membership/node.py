"""Runs one SWIM member on a UDP socket with one timer.

The protocol logic is in rules/membership.  This module resolves a member's name to an address: it uses the
configured address, else the address in the member's own update, else the source address of the member's last
datagram.  Configured addresses are never gossiped, because on the platform each scheduler has its own address
for every other scheduler.
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
MAX_SOURCE_ADDRESSES = 1024  # names for which a source address is stored


class PeerNode(NoDrain, asyncio.DatagramProtocol):
    """A component that exchanges membership messages with the other schedulers.

    It sends at most `most_per_s` messages per second; it drops and counts further ones, which the protocol
    tolerates like lost datagrams.  It calls `reported` with each change of the membership view.
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
        rng = random.Random(seed)
        # The incarnation is not stored, so it starts from the wall clock in seconds, which usually exceeds
        # the incarnation of the previous process.
        self.member = SwimMember(
            name,
            rng.randrange(MAX_PROCESS_ID),
            int(time.time()),
            self._peers,
            pace or MembershipTiming(),
            rng,
            time.monotonic_ns(),
            address,
        )
        self.counts: Counter[str] = Counter()
        self.other: Callable[[bytes], None] | None = None  # receives datagrams of other protocols
        self._source_addresses: dict[str, Address] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Bind the socket and start the protocol."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self._listen)
        self._step(None)

    async def stop(self) -> None:
        """Announce the departure to the other members and close the socket."""
        self.member.leave(time.monotonic_ns())
        self._send()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def report(self) -> dict[str, object]:
        """Return the membership view and counters for operators."""
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
        """Apply changed names and addresses of the peers; the own name and listening address stay."""
        self._peers = dict(config.peers)
        self.member.set_contacts(time.monotonic_ns(), self._peers)
        self._step(None)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Process a datagram; one that cannot be decoded is only counted."""
        self.counts["heard"] += 1
        if self.other is not None and not data.startswith(MAGIC):
            self.other(data)
            return
        message = self.codec.decode(data)
        if message is None:
            return
        name = message.sender.name
        if name in self._source_addresses or len(self._source_addresses) < MAX_SOURCE_ADDRESSES:
            self._source_addresses[name] = addr
        self._step(message)

    def send_other(self, name: str, data: bytes) -> None:
        """Send a datagram of another protocol to a member; does nothing if its address is unknown."""
        address = self._resolve(name)
        if address is not None and self._transport is not None:
            self.counts["sent-other"] += 1
            self._transport.sendto(data, address)

    def error_received(self, exc: Exception) -> None:
        """Count a refused datagram; the protocol detects an absent member by its missing acknowledgements."""
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
            address = self._resolve(name)
            if address is None or self._transport is None:
                self.counts["nowhere"] += 1
            elif not self.budget.try_acquire(now):
                self.counts["over-budget"] += 1
            else:
                self.counts["sent"] += 1
                data = self.codec.encode(message)
                self.counts["sent-bytes"] += len(data)
                self._transport.sendto(data, address)

    def _resolve(self, name: str) -> Address | None:
        if name in self._peers:
            return self._peers[name]
        record = self.member.records.get(name)
        host, _, port = record.update.address.rpartition(":") if record is not None else ("", "", "")
        with contextlib.suppress(OSError, ValueError):  # the address in a member's update is unvalidated
            socket.inet_pton(socket.AF_INET, host)
            if 0 < int(port) < 65_536:
                return host, int(port)
        return self._source_addresses.get(name)
