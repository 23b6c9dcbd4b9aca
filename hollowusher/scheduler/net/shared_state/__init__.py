"""Counts and node judgements that schedulers share over the membership socket."""
