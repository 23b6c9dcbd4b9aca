"""Request rates of tenants compared with their shares.

This module only classifies requests; the balancer decides how to treat requests beyond a share.
"""

from __future__ import annotations

import math

from hollowusher.balancing.interface import NS_PER_S, Settings

DECAY_TIME_NS = 4 * NS_PER_S  # time constant of the exponential decay of the request counts
# Requests that a tenant may send above its share, because such small counts are not significant.
BURST_ALLOWANCE = 2.0


class TenantShares:
    """Decaying counts of the first tries that each tenant sent to this scheduler.

    A tenant is within its share while its count does not exceed the larger of two limits: its allowance
    divided evenly among the schedulers, and its share of all requests at this scheduler. The second limit is
    needed because traffic is not spread evenly over the schedulers.
    """

    def __init__(self, settings: Settings, now: int) -> None:
        allowance_factor = DECAY_TIME_NS / NS_PER_S / settings.balancers
        self._tenants = {t.name: (t.allowance_per_s * allowance_factor, t.share) for t in settings.tenants}
        self._request_counts = dict.fromkeys(self._tenants, 0.0)
        self._updated_at = now

    def is_over_share(self, tenant: str, retry: bool, now: int) -> bool:
        """Count a request and return whether it exceeds its tenant's share; `now` is in ns.

        A request without a known tenant never does. A retry is not counted, because it belongs to the first
        try.
        """
        if tenant not in self._tenants or retry:
            return False
        decay, self._updated_at = (
            math.exp(-max(0, now - self._updated_at) / DECAY_TIME_NS),
            max(now, self._updated_at),
        )
        for name in self._request_counts:
            self._request_counts[name] *= decay
        self._request_counts[tenant] += 1.0
        allowed, share = self._tenants[tenant]
        return (
            self._request_counts[tenant]
            > max(allowed, share * sum(self._request_counts.values())) + BURST_ALLOWANCE
        )
