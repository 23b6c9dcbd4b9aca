"""`h2`'s connection, with the two things that a client of failing nodes needs beside it.

h2 closes its state machine at the first GOAWAY and forgets what it had to send, though the streams up to the
last id go on (RFC 9113, section 6.8); and it counts no frames.  Both are mended where every frame passes.
The methods overridden are h2's own, so its version is pinned and tests hold the behaviour."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import ConnectionTerminated, Event
from h2.exceptions import ProtocolError
from h2.settings import SettingCodes, Settings
from hpack import Encoder
from hyperframe.frame import (
    DataFrame,
    ExtensionFrame,
    Frame,
    GoAwayFrame,
    HeadersFrame,
    PingFrame,
    PriorityFrame,
    RstStreamFrame,
    SettingsFrame,
    WindowUpdateFrame,
)

STREAM_WINDOW = 128 * 1024  # bytes of one answer that may be under way: two results of the largest size
CONNECTION_WINDOW = 1024 * 1024
HEADER_BYTES = 16 * 1024
SMALL_DATA = 16  # bytes; smaller DATA frames cost more than they bring
_CONTROL = (SettingsFrame, PingFrame, RstStreamFrame, PriorityFrame, WindowUpdateFrame, ExtensionFrame)
# Our own headers are right as they are, and of the node's only four are read, each by its exact name.
_CONFIG = H2Configuration(
    client_side=True,
    validate_outbound_headers=False,
    normalize_outbound_headers=False,
    validate_inbound_headers=False,
    normalize_inbound_headers=False,
)


class Flood(ProtocolError):
    """The node sends more frames without work than it may."""

    error_code = ErrorCodes.ENHANCE_YOUR_CALM


class NotHttp2(ProtocolError):
    """What came first is no SETTINGS frame: the other side does not speak HTTP/2 (RFC 9113, section 3.4)."""


class PlainEncoder(Encoder):
    """Header blocks without Huffman codes: some thirty bytes more a request, and less time than they cost."""

    def encode(self, headers: Any, huffman: bool = False) -> bytes:
        """See `Encoder`."""
        return super().encode(headers, huffman=False)


class GuardedConnection(H2Connection):
    """A client's connection that outlives a GOAWAY and bounds frames without work.

    `spend` is asked for each such frame, and says whether one more is allowed.
    """

    def __init__(self, spend: Callable[[], bool]) -> None:
        super().__init__(_CONFIG)
        self._spend = spend
        self._greeted = False
        self.local_settings = Settings(
            client=True,
            initial_values={
                SettingCodes.ENABLE_PUSH: 0,
                SettingCodes.MAX_CONCURRENT_STREAMS: 0,
                SettingCodes.INITIAL_WINDOW_SIZE: STREAM_WINDOW,
                SettingCodes.MAX_HEADER_LIST_SIZE: HEADER_BYTES,
            },
        )
        self.decoder.max_header_list_size = HEADER_BYTES
        self.encoder = PlainEncoder()

    @property
    def greeted(self) -> bool:
        """Whether the node has shown that it speaks HTTP/2."""
        return self._greeted

    def greet(self) -> None:
        """Begin the connection: preface, SETTINGS, and a window for all answers together."""
        self.initiate_connection()
        self.increment_flow_control_window(CONNECTION_WINDOW - 65_535)

    def _receive_frame(self, frame: Frame) -> list[Event]:
        if not self._greeted:
            if not isinstance(frame, SettingsFrame) or "ACK" in frame.flags:
                raise NotHttp2("the first frame is no SETTINGS")
            self._greeted = True
        control = isinstance(frame, _CONTROL) and "ACK" not in frame.flags
        if isinstance(frame, DataFrame) and "END_STREAM" not in frame.flags:
            control = len(frame.data) < SMALL_DATA
        elif isinstance(frame, HeadersFrame):
            control = "END_STREAM" not in frame.flags
        if control and not self._spend():
            raise Flood(f"too many frames without work, the last of them {type(frame).__name__}")
        stream = self.streams.get(frame.stream_id)
        if stream is None or not stream.open or not isinstance(frame, DataFrame | HeadersFrame):
            return super()._receive_frame(frame)
        # The ordinary case goes past h2's method, which writes out each frame for a log that nobody keeps.
        frames, events = self._frame_dispatch_table[frame.__class__](frame)
        self._prepare_for_sending(frames)
        return events  # type: ignore[no-any-return]

    def _receive_goaway_frame(self, frame: GoAwayFrame) -> tuple[list[Frame], list[Event]]:
        reported = ConnectionTerminated()
        try:
            reported.error_code = ErrorCodes(frame.error_code)
        except ValueError:
            reported.error_code = frame.error_code
        reported.last_stream_id = frame.last_stream_id
        reported.additional_data = frame.additional_data or None
        return [], [reported]
