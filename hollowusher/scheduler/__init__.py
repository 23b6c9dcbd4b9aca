"""The scheduler in service (`deploy/balancer.toml`): takes jobs over HTTP and STOMP, sends them to workers."""
