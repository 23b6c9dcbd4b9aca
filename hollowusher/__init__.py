"""hollowusher: an ingest and dispatch service, and the scheduler in service."""
