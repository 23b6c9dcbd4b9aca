"""Runs a small system on loopback: real edge and store processes, with stubs of all external services."""
