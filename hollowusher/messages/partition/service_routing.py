"""The part of the configuration that a primary uses: routes, services and rate limits."""

from __future__ import annotations

from collections.abc import Callable

from hollowusher.configuration.model import Configuration
from hollowusher.messages.partition.active_messages import ActiveMessage
from hollowusher.messages.partition.token_bucket import TokenBucket

HomePartition = Callable[[str], int | None]  # service -> its home partition; None if it is unknown


class ServiceRouting:
    """Routes, services and rate limits of the newest configuration, for the primary of one partition.

    Before the first configuration no route counts as removed and no service has a rate limit.  The primary of
    a service's home partition enforces its rate limit, and lends tokens to the primaries of other partitions.
    """

    def __init__(self, partition: int, home_partition: HomePartition) -> None:
        self._partition = partition
        self._home_partition = home_partition
        self._configuration: Configuration | None = None
        self._routes: frozenset[str] = frozenset()
        self._upstreams: dict[str, str] = {}  # service of each route
        self._timeouts_ms: dict[str, int] = {}  # delivery timeout of each route
        self._services: frozenset[str] = frozenset()
        self._buckets: dict[str, TokenBucket] = {}

    def configure(self, configuration: Configuration, now: float) -> None:
        """Apply a newer configuration."""
        self._configuration = configuration
        self._routes = frozenset(route.name for route in configuration.routes)
        self._upstreams = {route.name: route.upstream for route in configuration.routes}
        self._timeouts_ms = {route.name: route.timeout_ms for route in configuration.routes}
        self._services = frozenset(service.name for service in configuration.upstreams)
        rates = {
            service.name: service.rate_per_s for service in configuration.upstreams if service.rate_per_s > 0
        }
        self._set_rate_limits(rates, now)

    @property
    def generation(self) -> int:
        """The generation of the configuration, or 0 before the first one."""
        return self._configuration.generation if self._configuration else 0

    def bucket(self, service: str) -> TokenBucket | None:
        """Return the token bucket of a service, or None if this primary does not enforce a limit for it."""
        return None if self.must_borrow_tokens(service) else self._buckets.get(service)

    def must_borrow_tokens(self, service: str) -> bool:
        """Return whether the primary of another partition enforces the rate limit of a service."""
        if service not in self._buckets:
            return False
        return self._home_partition(service) not in (None, self._partition)

    def is_route_removed(self, active: ActiveMessage) -> bool:
        """Return whether a configuration newer than the message's own has removed the message's route."""
        configuration = self._configuration
        return (
            configuration is not None
            and configuration.generation > active.generation
            and active.route not in self._routes
        )

    def is_known(self, service: str) -> bool:
        """Return whether the configuration contains the service, and so whether its rate limit is known."""
        return service in self._services

    def service_for(self, route: str, service: str, generation: int) -> str:
        """Return the service of a message that was accepted for `service` under a configuration.

        That is the current service of its route if `service` is not configured any more.  A configuration
        older than the message's own, which has this `generation`, does not decide.
        """
        if service in self._services or generation > self.generation:
            return service
        return self._upstreams.get(route, service)

    def delivery_timeout_ms(self, active: ActiveMessage) -> int:
        """Return the timeout of the message's route; of an unknown route, the timeout at its acceptance."""
        return self._timeouts_ms.get(active.route, active.timeout_ms)

    def _set_rate_limits(self, rates: dict[str, float], now: float) -> None:
        for service in [name for name in self._buckets if name not in rates]:
            del self._buckets[service]
        for service, rate in rates.items():
            bucket = self._buckets.get(service)
            if bucket is None:
                self._buckets[service] = TokenBucket(rate, now)
            elif bucket.rate != rate * TokenBucket.RATE_FRACTION:
                bucket.change_rate(rate, now)
