"""The scenarios of the model check of a partition: how many messages, losses and outages there are."""

from __future__ import annotations

import attrs


@attrs.frozen
class PartitionScenario:
    """What may happen in a run."""

    name: str
    stores: int = 3
    puts: int = 1
    disk_losses: int = 2
    power_losses: int = 0
    deaf: int = 0  # how often a store may miss placements for a while
    retire: bool = False
    planned: bool = False  # the first loss is announced: the successor is there, the store is asked to stop
    new_name: bool = True  # the successor has another name
    eager_puts: bool = False  # a message may begin between any two steps
    outage: bool = False  # all stores lose power at once, one of them its disk; one returns seconds later


SCENARIOS = (
    PartitionScenario("replace"),
    PartitionScenario("wipe", new_name=False),
    PartitionScenario("planned", planned=True),
    PartitionScenario("power", disk_losses=0, power_losses=2),
    PartitionScenario("deaf", disk_losses=1, power_losses=1, deaf=1),
    PartitionScenario("restart", puts=2, disk_losses=0, power_losses=1, eager_puts=True),
    PartitionScenario("outage", disk_losses=1, new_name=False, outage=True),
    PartitionScenario("retire", stores=4, disk_losses=1, retire=True, new_name=False),
)
