"""The commands of the model checks."""

from __future__ import annotations

import sys
from typing import Any

import attrs
import click

from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.coordination.chain.pending_change import PendingChange
from hollowusher.coordination.consensus.voter_state_machine import VoterStateMachine
from hollowusher.simulation.model_check.consensus_model import ConsensusBounds, ConsensusModel
from hollowusher.simulation.model_check.control_chain_model import ChainBounds, ControlChainModel
from hollowusher.simulation.model_check.explorer import ExplorableModel, SearchBounds, explore
from hollowusher.simulation.model_check.partition_command import partition
from hollowusher.simulation.model_check.planted_control import CHAIN_FAULTS, CHANGE_FAULTS, CONSENSUS_FAULTS

PARTS = ("agreement", "chain")


@click.group()
def main() -> None:
    """Bounded model checks of the real state machines; the exit code is 1 if a property does not hold."""


main.add_command(partition)


@main.command()
@click.option("--part", type=click.Choice(["all", *PARTS]), default="all", help="What is explored.")
@click.option("--controllers", default=3, help="Controllers that vote at first.")
@click.option("--depth", default=12, help="Most steps.")
@click.option("--states", default=20_000_000, help="Stop after so many states.")
@click.option("--seconds", default=3_600.0, help="Stop each part after so many seconds.")
@click.option("--proposals", default=2, help="Ballots, by as many controllers at most.")
@click.option("--restarts", default=1, help="Kills and losses of power.")
@click.option("--wipes", default=0, help="Restarts with an empty disk.")
@click.option("--failures", default=0, help="Saves that fail.")
@click.option("--replace", is_flag=True, help="A further controller may take a voter's place.")
@click.option("--views", default=1, help="Ballots in the part `chain`.")
@click.option("--orders", default=1, help="Orders of operators.")
@click.option("--epochs", default=1, help="Views proposed one after the other.")
@click.option("--whole-ballots", is_flag=True, help="Acceptances reach the whole quorum (part `chain`).")
@click.option("--fine", is_flag=True, help="Fold nothing: each save ends and each answer arrives by itself.")
@click.option("--planted", default="", help="A planted fault that is to be found.")
def control(
    part: str,
    controllers: int,
    depth: int,
    states: int,
    seconds: float,
    proposals: int,
    restarts: int,
    wipes: int,
    failures: int,
    replace: bool,
    views: int,
    orders: int,
    epochs: int,
    whole_ballots: bool,
    fine: bool,
    planted: str,
) -> None:
    """Agreement, control chain and changes of the voters."""
    bounds = SearchBounds(depth, states, seconds)
    agreement = ConsensusBounds(controllers, proposals, restarts, wipes, failures, replace, epochs, fine)
    models: dict[str, ExplorableModel[Any, Any]] = {}
    if part in ("all", "agreement") and (not planted or planted in CONSENSUS_FAULTS):
        models["agreement"] = ConsensusModel(agreement, CONSENSUS_FAULTS.get(planted, VoterStateMachine))
    if part in ("all", "chain") and (not planted or planted in {**CHAIN_FAULTS, **CHANGE_FAULTS}):
        chain = ChainBounds(controllers, views, orders, restarts, wipes, int(replace))
        chain = attrs.evolve(chain, partial_ballots=not whole_ballots)
        models["chain"] = ControlChainModel(
            chain, CHAIN_FAULTS.get(planted, ChainMember), CHANGE_FAULTS.get(planted, PendingChange)
        )
    if not models:
        raise click.BadParameter(f"no planted fault {planted!r} in this part")
    results = [_check(name, model, bounds) for name, model in models.items()]
    sys.exit(0 if all(results) else 1)


def _check(name: str, model: ExplorableModel[Any, Any], bounds: SearchBounds) -> bool:
    """Explore one model and print what was found; whether all properties hold."""
    outcome = explore(model, bounds)
    click.echo(f"{name}: {outcome.summary()}")
    if not outcome.violation:
        return True
    click.echo(f"{name}: {outcome.violation}, after:")
    for number, line in enumerate(outcome.trace, 1):
        click.echo(f"  {number}. {line}")
    return False
