"""Decodes the control status from `GET /control` and formats it as text.  No I/O."""

from __future__ import annotations

from expression import Error, Ok, Result

from hollowusher.console.admin_client import AdminCallError, AdminResponse
from hollowusher.console.text_table import Cell, format_table
from hollowusher.protocol.codec import from_document
from hollowusher.protocol.control_status import ControlStatus, PartitionStatus, VoterStatus

NONE = "-"


def parse_control_status(answer: AdminResponse) -> Result[ControlStatus, AdminCallError]:
    """Decode the control status from a response; unknown fields are ignored."""
    document = answer.json_value()
    if not answer.is_success or not isinstance(document, dict):
        return Error(
            AdminCallError("read the control status", answer.peer, f"status {answer.status}, no report")
        )
    try:
        voters = [from_document(VoterStatus, each) for each in document["voters"]]
        partitions = [from_document(PartitionStatus, each) for each in document["partitions"]]
        whole = document | {"voters": voters, "partitions": partitions}
        return Ok(from_document(ControlStatus, whole))
    except (KeyError, TypeError, AttributeError) as error:
        return Error(
            AdminCallError("read the control status", answer.peer, f"{type(error).__name__}: {error}")
        )


def control_summary(status: ControlStatus) -> list[tuple[str, str]]:
    """Return the controllers' part of the overview as (label, text) pairs."""
    heard = sum(voter.heard for voter in status.voters)
    role = "leads" if status.leads else "does not lead: others may know more"
    controllers, stores = _losses_text(status.controller_losses_borne), _store_losses_text(status)
    lines = [
        ("told by", f"{status.answered_by}, which {role}"),
        ("state", f"sequence {status.sequence} in epoch {status.epoch}, generation {status.generation}"),
        ("voters", f"{len(status.voters)}, {heard} heard, {status.majority} are a majority"),
        ("spares", ", ".join(status.spare_controllers) or "none"),
        ("bears", f"controllers: {controllers}; stores: {stores}"),
    ]
    if status.worker_list_age_s >= 0:
        lines.append(("list of workers", f"read {status.worker_list_age_s:.1f} s ago by the head"))
    return lines


def _losses_text(losses_borne: int) -> str:
    if losses_borne < 0:
        return "too many are lost already"
    return "no further loss" if losses_borne == 0 else f"{losses_borne} more may be lost"


def _store_losses_text(status: ControlStatus) -> str:
    return _losses_text(status.store_losses_borne) if status.partitions else "nothing known"


def format_voters(status: ControlStatus) -> str:
    """Format a table of the voters: reachability, position in the chain and replication lag."""
    newest = max((tuple(voter.state_version) for voter in status.voters), default=())
    rows: list[list[Cell]] = [
        [
            voter.name,
            voter.disk_id,
            _yes(voter.heard),
            _chain_role(voter, status),
            _yes(voter.complete),
            _version(voter),
            _lag_text(voter, newest),
        ]
        for voter in status.voters
    ]
    return format_table(["voter", "disk", "heard", "duty", "whole state", "holds", "behind"], rows)


def _chain_role(voter: VoterStatus, status: ControlStatus) -> str:
    if voter.name == status.head:
        return "head"
    if voter.name == status.tail:
        return "tail"
    return "chain" if voter.in_chain else "voter"


def _version(voter: VoterStatus) -> str:
    """Return EPOCH/SEQUENCE of the newest state on the voter's disk."""
    return "/".join(str(number) for number in voter.state_version) or NONE


def _lag_text(voter: VoterStatus, newest: tuple[int, ...]) -> str:
    held = tuple(voter.state_version)
    if len(held) != 2 or len(newest) != 2:
        return NONE
    if held == newest:
        return "0"
    return str(newest[1] - held[1]) if held[0] == newest[0] else f"epoch {held[0]} of {newest[0]}"


def format_partitions(status: ControlStatus) -> str:
    """Format a table of the partitions with missing replicas or learners; empty if there are none."""
    rows: list[list[Cell]] = [
        [
            entry.partition,
            entry.epoch,
            _store_name(entry.primary),
            f"{entry.living}/{entry.replicas}",
            ", ".join(_store_name(learner) for learner in entry.learners) or NONE,
            "LOST" if entry.lost else "",
        ]
        for entry in status.partitions
        if entry.lost or entry.learners or entry.living < entry.replicas
    ]
    return format_table(["partition", "epoch", "led by", "living", "catching up", ""], rows) if rows else ""


def control_problems(status: ControlStatus) -> list[str]:
    """Return the problems of the controllers and partitions, one line each."""
    problems = []
    if not status.leads:
        problems.append(f"no head answers: {status.answered_by} alone tells how control stands")
    wanted = len(status.voters) - status.majority
    if status.controller_losses_borne < wanted:
        unheard = [voter.name for voter in status.voters if not voter.heard]
        behind = [voter.name for voter in status.voters if voter.heard and not voter.complete]
        reasons = [f"not heard: {', '.join(unheard)}"] if unheard else []
        reasons += [f"without the whole state: {', '.join(behind)}"] if behind else []
        losses_borne = _losses_text(status.controller_losses_borne)
        problems.append(
            "; ".join([f"fault tolerance of the controllers: {losses_borne}, normally {wanted}", *reasons])
        )
    for entry in status.partitions:
        if entry.lost:
            problems.append(
                f"partition {entry.partition} is lost: {entry.living} of {entry.replicas} replicas live; "
                "restart the stores of the other replicas, or use `system recover-partition`"
            )
    return problems


def _store_name(store_id: str) -> str:
    return store_id.partition("/")[0]


def _yes(value: bool) -> str:
    return "yes" if value else "no"
