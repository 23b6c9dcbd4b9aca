"""The scheduler service (`deploy/balancer.toml`): accepts jobs over HTTP or STOMP, sends them to workers."""
