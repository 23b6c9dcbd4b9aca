"""Experiments in virtual time: what a setting or a mechanism is worth, over many seeds and scenarios."""
