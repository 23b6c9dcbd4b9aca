"""Sending of this process's heartbeats, and reports about members that this process suspects."""

from __future__ import annotations

import asyncio

from hollowusher.coordination.cluster_state import MEMBER_PREFIX
from hollowusher.coordination.distribution.client_context import ClientContext
from hollowusher.coordination.distribution.own_registration import OwnRegistration
from hollowusher.coordination.membership.failure_detector import FailureDetector
from hollowusher.coordination.membership.pause_detector import PauseDetector
from hollowusher.protocol.membership import Heartbeat

TICK_S = 0.1
MAX_STEP_S = TICK_S + 0.3  # a longer interval between two ticks means that this process was paused


class MemberMonitor:
    """Connects this process's `FailureDetector`, which it owns, to the network."""

    def __init__(
        self, context: ClientContext, registration: OwnRegistration, pause_detector: PauseDetector
    ) -> None:
        self._context = context
        self._registration = registration
        self._pause_detector = pause_detector
        self._failure_detector = FailureDetector(context.name)
        self._members_changed = True
        context.state.add_listener(self._on_state_changed)

    def _on_state_changed(self, key: str) -> None:
        if key.startswith(MEMBER_PREFIX):
            self._members_changed = True

    async def handle_heartbeat(self, message: Heartbeat) -> None:
        """Record the heartbeat of a monitored member."""
        self._failure_detector.record_heartbeat(message, self._context.now())

    async def run(self) -> None:
        """Send heartbeats and report suspicions to the voters; run until cancelled."""
        while True:
            now = self._context.now()
            self._pause_detector.tick(now)
            if self._members_changed:
                self._members_changed = False
                self._failure_detector.update_members(self._context.state.live_members(), now)
            for suspicion in self._failure_detector.tick(now):
                for voter in self._context.voters:
                    self._context.transport.send(voter.address, suspicion)
            if not self._registration.is_departing and self._failure_detector.start_due_heartbeat(now):
                self._send_heartbeat()
            await asyncio.sleep(TICK_S)

    def _send_heartbeat(self) -> None:
        member = self._registration.member
        heartbeat = Heartbeat(member.name, member.incarnation)
        for monitor in self._failure_detector.own_monitors:
            self._context.transport.send(monitor.address, heartbeat)
