"""The scheduler in service (`deploy/balancer.toml`): jobs come by HTTP or STOMP and go to workers."""
