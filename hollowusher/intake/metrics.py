"""Intake metrics of an edge process."""

from __future__ import annotations

import attrs


@attrs.define
class IntakeMetrics:
    """Counters since the start of the process, by outcome and reason."""

    accepted: int = 0
    unknown: int = 0  # status 504: a store may have stored the message
    refused_load: int = 0  # status 503: a load limit of this process was reached
    refused_unavailable: int = 0  # status 503: no store accepted the message
    refused_unready: int = 0  # status 503: no current configuration, or the route cannot be served
    no_route: int = 0
    malformed: int = 0
    too_large: int = 0
    body_timeouts: int = 0
    broken_off: int = 0  # the client disconnected before it had sent its whole request
    header_timeouts: int = 0
    failures: int = 0  # unexpected exceptions while handling a request
    states_told: int = 0
    states_unknown: int = 0
    states_unavailable: int = 0
    pulls_empty: int = 0
    pulls_served: int = 0
    pulls_refused: int = 0
    jobs_given_back: int = 0  # jobs released because their worker had disconnected
    ends_taken: int = 0
    ends_gone: int = 0
    ends_unavailable: int = 0
    extensions_taken: int = 0
    extensions_gone: int = 0
    extensions_unavailable: int = 0
