"""hollowusher: a message ingest and dispatch service, and the scheduler that is in production today."""
