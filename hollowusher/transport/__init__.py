"""Connections between the processes of one system: framing, calls with answers, one-way messages."""
