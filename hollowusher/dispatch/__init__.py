"""Dispatch of jobs to pushed workers: ownership of workers, and flow control for each worker."""
