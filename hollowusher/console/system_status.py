"""The state of a whole system: one process's report, how control stands, and what each other process says."""

from __future__ import annotations

import asyncio

import attrs
from expression import Error, Ok, Result
from mashumaro.codecs.basic import BasicDecoder
from mashumaro.exceptions import InvalidFieldValue, MissingField

from hollowusher.console.admin_client import AdminCallError, AdminClient, AdminResponse
from hollowusher.console.control_report import parse_control_status
from hollowusher.console.status_report import MemberReport, ProcessReport, StatusReport
from hollowusher.console.store_report import StoreReport
from hollowusher.protocol.control_status import ControlStatus

STATUS_PATH = "/status"
CONTROL_PATH = "/control"
EDGE = "edge"
STORE = "store"
NOT_FOUND = 404
MAX_ASKED = 64
MAX_CONCURRENT_CALLS = 32
ASK_TIMEOUT_S = 1.5
CONTROL_TIMEOUT_S = 2.5  # the process asked asks the controllers in turn


@attrs.frozen
class SystemStatus:
    """The reports of a system's processes, each replaced by an error where its process did not answer.

    `report` is that of the process asked first, `unasked_count` counts the living edge processes not
    asked, and `control` is None where the process asked is of a version without `GET /control`.
    """

    report: StatusReport
    processes: dict[str, ProcessReport | AdminCallError]
    unasked_count: int = 0
    control: ControlStatus | AdminCallError | None = None
    stores: dict[str, StoreReport | AdminCallError] = attrs.Factory(dict)


async def collect_system_status(client: AdminClient, ask_all: bool) -> Result[SystemStatus, AdminCallError]:
    """Ask one process for its report, and the other living edge processes for theirs."""
    first = await client.request("GET", STATUS_PATH)
    if first.is_error():
        return Error(first.error)
    read = parse_status_report(first.ok)
    if read.is_error():
        return Error(read.error)
    report = read.ok
    control, stores = await asyncio.gather(
        _ask_control(client, first.ok.peer), _ask_stores(client, report, ask_all)
    )
    others = [member for member in report.members.entries if _is_other_live_edge(member, report)]
    asked = others if ask_all else others[:MAX_ASKED]
    limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
    answers = await asyncio.gather(*(_ask_edge(client, member, limit) for member in asked))
    processes: dict[str, ProcessReport | AdminCallError] = {report.process.name: report.process}
    processes |= {member.name: answer for member, answer in zip(asked, answers, strict=True)}
    return Ok(SystemStatus(report, processes, len(others) - len(asked), control, stores))


async def _ask_control(client: AdminClient, address: str) -> ControlStatus | AdminCallError | None:
    result = await client.get_from(address, CONTROL_PATH, CONTROL_TIMEOUT_S)
    if result.is_ok() and result.ok.status == NOT_FOUND:
        return None
    read = result.bind(parse_control_status)
    status: ControlStatus | AdminCallError = read.ok if read.is_ok() else read.error
    return status


async def _ask_stores(
    client: AdminClient, report: StatusReport, ask_all: bool
) -> dict[str, StoreReport | AdminCallError]:
    """What the living stores with an address of their own say of themselves."""
    stores = [each for each in report.members.entries if each.alive and each.role == STORE and each.admin]
    asked = stores if ask_all else stores[:MAX_ASKED]
    limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
    answers = await asyncio.gather(*(_ask_store(client, member, limit) for member in asked))
    return {member.name: answer for member, answer in zip(asked, answers, strict=True)}


async def _ask_store(
    client: AdminClient, member: MemberReport, limit: asyncio.Semaphore
) -> StoreReport | AdminCallError:
    async with limit:
        result = await client.get_from(member.admin, STATUS_PATH, ASK_TIMEOUT_S)
    read = result.bind(parse_store_report)
    report: StoreReport | AdminCallError = read.ok if read.is_ok() else read.error
    return report


def parse_store_report(answer: AdminResponse) -> Result[StoreReport, AdminCallError]:
    """The report in a store's answer."""
    document = answer.json_value()
    if not answer.is_success or not isinstance(document, dict):
        return Error(
            AdminCallError("read the store's status", answer.peer, f"status {answer.status}, no report")
        )
    try:
        return Ok(_store_decoder.decode(document))
    except (MissingField, InvalidFieldValue) as error:
        return Error(AdminCallError("read the store's status", answer.peer, str(error)))


def parse_status_report(answer: AdminResponse) -> Result[StatusReport, AdminCallError]:
    """The report in an answer's body."""
    document = answer.json_value()
    if not answer.is_success or not isinstance(document, dict):
        return Error(AdminCallError("read the status", answer.peer, f"status {answer.status}, no report"))
    try:
        return Ok(_decoder.decode(document))
    except (MissingField, InvalidFieldValue) as error:
        return Error(AdminCallError("read the status", answer.peer, str(error)))


def _is_other_live_edge(member: MemberReport, report: StatusReport) -> bool:
    return member.alive and member.role == EDGE and bool(member.admin) and member.name != report.process.name


async def _ask_edge(
    client: AdminClient, member: MemberReport, limit: asyncio.Semaphore
) -> ProcessReport | AdminCallError:
    async with limit:
        answer = await client.get_from(member.admin, STATUS_PATH, ASK_TIMEOUT_S)
    if answer.is_error():
        failure: AdminCallError = answer.error
        return failure
    read = parse_status_report(answer.ok)
    if read.is_error():
        wrong: AdminCallError = read.error
        return wrong
    report: StatusReport = read.ok
    return report.process


_decoder = BasicDecoder(StatusReport)
_store_decoder = BasicDecoder(StoreReport)
