"""HTTP/2 connections to route nodes: many jobs on few sockets.  docs/http2-design.md explains the design."""
