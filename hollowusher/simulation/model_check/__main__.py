"""Runs a model check: `python -m hollowusher.simulation.model_check control --controllers 3 --depth 12`."""

from __future__ import annotations

from hollowusher.simulation.model_check.commands import main

if __name__ == "__main__":
    main()
