"""What each tenant asks for, against its share: a count that the module is told; what follows, it decides."""

from __future__ import annotations

import math

from hollowusher.balancing.interface import NS_PER_S, Settings

MEMORY_NS = 4 * NS_PER_S  # over this long what was asked for fades
SPARE = 2.0  # requests above its share that a tenant may ask for at once: counts this small tell nothing


class TenantShares:
    """First tries of each tenant at this scheduler, fading.

    A tenant is within its share as long as it asks for no more than its allowance, cut evenly among the
    schedulers, or than its share of all that is asked for here: traffic is not spread evenly over them.
    """

    def __init__(self, settings: Settings, now: int) -> None:
        part = MEMORY_NS / NS_PER_S / settings.balancers
        self._tenants = {t.name: (t.allowance_per_s * part, t.share) for t in settings.tenants}
        self._asked = dict.fromkeys(self._tenants, 0.0)
        self._at = now

    def is_over_share(self, tenant: str, retry: bool, now: int) -> bool:
        """Count a request; whether it goes beyond its tenant's share.  Nobody's request never does, and a
        retry is part of the try before it."""
        if tenant not in self._tenants or retry:
            return False
        fade, self._at = math.exp(-max(0, now - self._at) / MEMORY_NS), max(now, self._at)
        for name in self._asked:
            self._asked[name] *= fade
        self._asked[tenant] += 1.0
        allowed, share = self._tenants[tenant]
        return self._asked[tenant] > max(allowed, share * sum(self._asked.values())) + SPARE
