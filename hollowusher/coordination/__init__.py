"""Coordination parts that others could embed: membership, views, the control chain, placement, updates."""
