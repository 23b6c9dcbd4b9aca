"""The simulated network: which hosts have power, which links are blocked, how long frames take.

`SimulatedNetwork` owns the state of all links.  The connections over them are `SimulatedConnection`, the ends
that processes use are `SimulatedTransport`.  Together they behave like the TCP transport: one connection from
a process to each address it calls, messages in order, bytes kept back while a link is blocked and delivered
late once it is healed, a reset when the process of the peer is gone, silence when its machine has no power.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from hollowusher.simulation.connection import SimulatedConnection
from hollowusher.simulation.event_loop import SimulatedProcess, VirtualTimeLoop
from hollowusher.simulation.fencing_judge import FencingJudge
from hollowusher.simulation.transport import SimulatedTransport


@dataclass
class LinkDelays:
    """One-way delays: from `min_s` to `max_s`, with `slow_probability` up to `slow_max_s`."""

    min_s: float = 0.0004
    max_s: float = 0.0015
    slow_probability: float = 0.0
    slow_max_s: float = 0.05


class SimulatedNetwork:
    """The links between all machines.  Hosts are addresses without port."""

    def __init__(
        self, loop: VirtualTimeLoop, random_source: random.Random, delays: LinkDelays | None = None
    ) -> None:
        self.loop = loop
        self.random_source = random_source
        self.delays = delays or LinkDelays()
        self.reset_probability = 0.0  # that a frame resets its connection in place of arriving
        self.link_bytes_per_s = 0.0  # of each machine, in each direction; 0: links of any rate
        self.added_delay_s: dict[str, float] = {}  # host -> what its links add to each delay
        self.powered: set[str] = set()
        self.listeners: dict[str, SimulatedTransport] = {}
        self.connections: list[SimulatedConnection] = []
        self.messages = 0
        self.zones: dict[str, str] = {}  # host -> zone, of the machines
        self.bytes_between_zones = 0
        self.handler_failures: list[str] = []
        self.observer: Callable[[str, str, object], None] | None = None  # (from, to, message) of each arrival
        self.fencing_judge = FencingJudge()
        self._sent_until: dict[str, float] = {}  # host -> when its link has carried all that it sends
        self._received_until: dict[str, float] = {}  # host -> the same of what it receives
        self._blocked: set[tuple[str, str]] = set()
        self._rejecting: set[tuple[str, str]] = set()  # blocked links that answer with a reset

    def block(self, source: str, target: str, *, both: bool = True, refuse: bool = False) -> None:
        """Let nothing through from one host to another.

        Parameters
        ----------
        both
            Whether the way back is blocked too.
        refuse
            Whether connections break and new ones are refused; else there is silence.
        """
        pairs = {(source, target), (target, source)} if both else {(source, target)}
        self._blocked |= pairs
        if not refuse:
            return
        self._rejecting |= pairs
        for connection in list(self.connections):
            if {connection.client_host, connection.server_host} == {source, target}:
                connection.reset()

    def rejects(self, source: str, target: str) -> bool:
        """Whether bytes from one host to the other are answered with a reset."""
        return (source, target) in self._rejecting or (target, source) in self._rejecting

    def heal(self, source: str, target: str, *, both: bool = True) -> None:
        """Open a blocked link; frames that waited for it go on."""
        pairs = {(source, target), (target, source)} if both else {(source, target)}
        self._blocked -= pairs
        self._rejecting -= pairs
        self._flush()

    def heal_all(self) -> None:
        """Open all blocked links."""
        self._blocked.clear()
        self._rejecting.clear()
        self._flush()

    def _flush(self) -> None:
        for connection in list(self.connections):
            connection.flush()

    def is_blocked(self, source: str, target: str) -> bool:
        """Whether bytes from one host do not reach the other."""
        return source != target and (source, target) in self._blocked

    def reaches(self, source: str, target: str) -> bool:
        """Whether both hosts have power and the link is open."""
        return target in self.powered and source in self.powered and not self.is_blocked(source, target)

    def count_bytes(self, source: str, target: str, size: int) -> None:
        """Count what one host sends to another, if they are in different zones."""
        if self.zones.get(source) != self.zones.get(target):
            self.bytes_between_zones += size

    def transmit(self, source: str, target: str, size: int) -> float:
        """Occupy the links of both hosts with a frame of `size` bytes; return when they have carried it."""
        now = self.loop.time()
        if not self.link_bytes_per_s or source == target:
            return now
        took_s = size / self.link_bytes_per_s
        sent_at = max(now, self._sent_until.get(source, now)) + took_s
        received_at = max(sent_at, self._received_until.get(target, now) + took_s)
        self._sent_until[source] = sent_at
        self._received_until[target] = received_at
        return received_at

    def delay(self) -> float:
        """Draw a one-way delay in seconds."""
        delays = self.delays
        if delays.slow_probability and self.random_source.random() < delays.slow_probability:
            return self.random_source.uniform(delays.max_s, delays.slow_max_s)
        return self.random_source.uniform(delays.min_s, delays.max_s)

    def power_off(self, host: str) -> None:
        """Take a host's power; the other ends of its connections hear nothing."""
        self.powered.discard(host)
        for connection in list(self.connections):
            connection.host_lost_power(host)

    def power_on(self, host: str) -> None:
        """Give a host power again; its processes are not yet there."""
        self.powered.add(host)

    def process_ended(self, process: SimulatedProcess) -> None:
        """Close what an ended process had open, as its kernel would."""
        for address, listener in list(self.listeners.items()):
            if listener.process is process:
                del self.listeners[address]
        for connection in list(self.connections):
            connection.process_ended(process)

    def reset_connections(self, host: str) -> None:
        """Reset all connections of a host."""
        for connection in list(self.connections):
            if host in (connection.client_host, connection.server_host):
                connection.reset()

    def transport(self, process: SimulatedProcess, address: str) -> SimulatedTransport:
        """Create the transport of a process."""
        return SimulatedTransport(self, process, address)
