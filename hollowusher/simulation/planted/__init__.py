"""Planted faults: small changes of the real parts.  Each breaks a promise, which the checks must notice."""

from hollowusher.simulation.planted import calls, control, membership, partitions, queues
from hollowusher.simulation.planted.registry import PLANTED_FAULTS, PlantedFault, planting

__all__ = ["MODULES", "PLANTED_FAULTS", "PlantedFault", "planting"]

MODULES = (partitions, queues, control, membership, calls)  # they register their faults
