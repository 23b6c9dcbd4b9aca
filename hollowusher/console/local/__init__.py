"""A small whole system on loopback: real processes of both roles, with stand-ins for all that is outside."""
