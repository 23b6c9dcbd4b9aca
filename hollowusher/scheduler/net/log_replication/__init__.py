"""Copies of what a scheduler holds: storage, streams between schedulers, the gate before the desk."""
