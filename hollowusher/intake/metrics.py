"""What the clients' side of an edge process counts."""

from __future__ import annotations

import attrs


@attrs.define
class IntakeMetrics:
    """Counters since the start, by outcome and reason."""

    accepted: int = 0
    unknown: int = 0  # 504: may have been kept
    refused_load: int = 0  # 503: too much under way here
    refused_unavailable: int = 0  # 503: no store took it
    refused_unready: int = 0  # 503: no configuration known, or nothing here serves the request
    no_route: int = 0
    malformed: int = 0
    too_large: int = 0
    body_timeouts: int = 0
    broken_off: int = 0  # the client went before its request was whole
    header_timeouts: int = 0
    failures: int = 0  # errors of this program while handling a request
    states_told: int = 0
    states_unknown: int = 0
    states_unavailable: int = 0
    pulls_empty: int = 0
    pulls_served: int = 0
    pulls_refused: int = 0
    jobs_given_back: int = 0  # leased for a worker that had gone
    ends_taken: int = 0
    ends_gone: int = 0
    ends_unavailable: int = 0
    extensions_taken: int = 0
    extensions_gone: int = 0
    extensions_unavailable: int = 0
