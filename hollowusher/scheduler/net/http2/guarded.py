"""An `h2` connection that continues after a GOAWAY and limits control frames.

At the first GOAWAY, h2 closes its state machine and drops its pending output, although the streams up to the
last stream id continue (RFC 9113, section 6.8).  It also does not limit the number of frames.  This module
overrides the private methods that process each frame, so the version of h2 is pinned and tests check the
behaviour."""

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

STREAM_WINDOW = 128 * 1024  # bytes of one response in flight: two results of the maximum size
CONNECTION_WINDOW = 1024 * 1024
HEADER_BYTES = 16 * 1024
# Bytes.  A smaller DATA frame without END_STREAM costs more to process than its content is worth, so it
# counts as a control frame.
SMALL_DATA = 16
_CONTROL = (SettingsFrame, PingFrame, RstStreamFrame, PriorityFrame, WindowUpdateFrame, ExtensionFrame)
# The scheduler's own headers are valid already, and it reads only four of the node's, each by its exact name.
_CONFIG = H2Configuration(
    client_side=True,
    validate_outbound_headers=False,
    normalize_outbound_headers=False,
    validate_inbound_headers=False,
    normalize_inbound_headers=False,
)


class Flood(ProtocolError):
    """The node has sent more control frames than its budget allows."""

    error_code = ErrorCodes.ENHANCE_YOUR_CALM


class NotHttp2(ProtocolError):
    """The first frame is not SETTINGS, so the peer does not speak HTTP/2 (RFC 9113, section 3.4)."""


class PlainEncoder(Encoder):
    """Encodes header blocks without Huffman codes: about 30 bytes more per request, but less CPU time."""

    def encode(self, headers: Any, huffman: bool = False) -> bytes:
        """Encode as `Encoder` does, without Huffman codes."""
        return super().encode(headers, huffman=False)


class GuardedConnection(H2Connection):
    """A client connection that continues after a GOAWAY and limits control frames.

    Here, control frames include small DATA frames and HEADERS frames without END_STREAM.  The connection
    calls `spend` for each control frame; the result False means that the budget is exhausted.
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
        """Whether the first frame of the node was SETTINGS, which shows that it speaks HTTP/2."""
        return self._greeted

    def greet(self) -> None:
        """Queue the connection preface, SETTINGS and a WINDOW_UPDATE for the connection window."""
        self.initiate_connection()
        self.increment_flow_control_window(CONNECTION_WINDOW - 65_535)

    def _receive_frame(self, frame: Frame) -> list[Event]:
        if not self._greeted:
            if not isinstance(frame, SettingsFrame) or "ACK" in frame.flags:
                raise NotHttp2("the first frame is not SETTINGS")
            self._greeted = True
        control = isinstance(frame, _CONTROL) and "ACK" not in frame.flags
        if isinstance(frame, DataFrame) and "END_STREAM" not in frame.flags:
            control = len(frame.data) < SMALL_DATA
        elif isinstance(frame, HeadersFrame):
            control = "END_STREAM" not in frame.flags
        if control and not self._spend():
            raise Flood(f"too many control frames, the last one {type(frame).__name__}")
        stream = self.streams.get(frame.stream_id)
        if stream is None or not stream.open or not isinstance(frame, DataFrame | HeadersFrame):
            return super()._receive_frame(frame)
        # The common case bypasses h2's method, which formats each frame for a debug log that is not used.
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
