"""Rare states of an HTTP/2 session, reproduced without a socket.

They guard the outcome of a request that is withdrawn, returned by a GOAWAY, or hit by a failed write.
"""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from h2.config import H2Configuration
from h2.connection import H2Connection
from hyperframe.frame import GoAwayFrame

from hollowusher.balancing.interface import Outcome
from hollowusher.scheduler.net.http2.exchange import StreamExchange
from hollowusher.scheduler.net.http2.session import Http2Session
from hollowusher.scheduler.net.http2.settings import Http2Config
from hollowusher.scheduler.rules.stream_ends import Cause
from tests.scheduler.test_http2_property import Reply
from tests.support.balancer import S

HEADERS = [(b":method", b"POST"), (b":scheme", b"http"), (b":authority", b"n"), (b":path", b"/")]


class Moments(unittest.TestCase):
    def setUp(self) -> None:
        self.owner: Any = mock.Mock()
        self.session = Http2Session(1, Http2Config(True, ("*",)), self.owner, lambda: S, lambda: None)
        self.session.greet()
        self.node = H2Connection(H2Configuration(client_side=False))
        self.node.initiate_connection()
        self.node.receive_data(self.session.make())
        self.session.receive(memoryview(self.node.data_to_send()))

    def given(self, size: int) -> StreamExchange[str]:
        exchange = StreamExchange[str](lambda: HEADERS, b"." * size, Reply(), 9 * S, lambda: True)
        self.session.give(exchange)
        return exchange

    def test_what_was_made_complete_may_run_although_it_is_withdrawn(self) -> None:
        complete, part, unmade = self.given(5), self.given(100_000), None
        self.session.make()  # the body of the second request exceeds its flow-control window
        unmade = self.given(5)
        self.assertIs(self.session.withdraw(complete, Cause.WITHDRAWN), Outcome.CANCELLED)
        self.assertIs(self.session.withdraw(part, Cause.WITHDRAWN), Outcome.NOT_SENT)
        self.assertIs(self.session.withdraw(unmade, Cause.WITHDRAWN), Outcome.NOT_SENT)
        self.assertEqual(self.owner.ended.call_count, 3)

    def test_a_goaway_hands_back_those_whose_turn_had_not_come(self) -> None:
        begun = self.given(5)
        self.session.make()
        waiting = self.given(5)
        self.session.receive(memoryview(GoAwayFrame(0, last_stream_id=1).serialize()))
        self.owner.unbegun.assert_called_once_with(self.session, waiting)
        self.assertFalse(begun.ended)
        self.session.receive(memoryview(GoAwayFrame(0, last_stream_id=0).serialize()))
        self.assertIs(begun.result, Outcome.NOT_SENT)

    def test_of_a_failed_write_only_the_last_byte_is_known_not_to_have_left(self) -> None:
        first, last = self.given(5), self.given(5)
        self.session.make()
        self.session.broke()
        self.session.end("broken")
        self.assertEqual((first.result, last.result), (Outcome.RESET, Outcome.UNREACHABLE))
