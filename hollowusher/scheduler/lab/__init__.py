"""Stores, compares and reports simulation runs: tables, confidence intervals, HTML pages with charts."""
