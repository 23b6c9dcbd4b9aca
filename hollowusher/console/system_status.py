"""Collects the status of a system: one edge process's report, the control status, and the other reports."""

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
MAX_QUERIED = 64
MAX_CONCURRENT_CALLS = 32
QUERY_TIMEOUT_S = 1.5
CONTROL_TIMEOUT_S = 2.5  # the queried process queries the head and then the other controllers


@attrs.frozen
class SystemStatus:
    """The reports of a system's processes, with an error in place of each report that could not be read.

    `report` comes from the first process that responded.  `unasked_count` is the number of live edge
    processes that were not queried.  `control` is None if the version of the first process has no
    `GET /control`.
    """

    report: StatusReport
    processes: dict[str, ProcessReport | AdminCallError]
    unasked_count: int = 0
    control: ControlStatus | AdminCallError | None = None
    stores: dict[str, StoreReport | AdminCallError] = attrs.Factory(dict)


async def collect_system_status(client: AdminClient, ask_all: bool) -> Result[SystemStatus, AdminCallError]:
    """Query one edge process for the system's status, then the other live edge processes and the stores.

    At most `MAX_QUERIED` of each are queried, unless `ask_all` is set.  The result is an error if no edge
    process gives a definite response to the first query, or if that response contains no valid report.
    """
    first = await client.request("GET", STATUS_PATH)
    if first.is_error():
        return Error(first.error)
    decoded = parse_status_report(first.ok)
    if decoded.is_error():
        return Error(decoded.error)
    report = decoded.ok
    control, stores = await asyncio.gather(
        _query_control(client, first.ok.peer), _query_stores(client, report, ask_all)
    )
    others = [member for member in report.members.entries if _is_other_live_edge(member, report)]
    queried = others if ask_all else others[:MAX_QUERIED]
    limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
    answers = await asyncio.gather(*(_query_edge(client, member, limit) for member in queried))
    processes: dict[str, ProcessReport | AdminCallError] = {report.process.name: report.process}
    processes |= {member.name: answer for member, answer in zip(queried, answers, strict=True)}
    return Ok(SystemStatus(report, processes, len(others) - len(queried), control, stores))


async def _query_control(client: AdminClient, address: str) -> ControlStatus | AdminCallError | None:
    result = await client.get_from(address, CONTROL_PATH, CONTROL_TIMEOUT_S)
    if result.is_ok() and result.ok.status == NOT_FOUND:
        return None
    decoded = result.bind(parse_control_status)
    status: ControlStatus | AdminCallError = decoded.ok if decoded.is_ok() else decoded.error
    return status


async def _query_stores(
    client: AdminClient, report: StatusReport, ask_all: bool
) -> dict[str, StoreReport | AdminCallError]:
    """Query the live stores that have an admin address for their reports."""
    stores = [each for each in report.members.entries if each.alive and each.role == STORE and each.admin]
    queried = stores if ask_all else stores[:MAX_QUERIED]
    limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
    answers = await asyncio.gather(*(_query_store(client, member, limit) for member in queried))
    return {member.name: answer for member, answer in zip(queried, answers, strict=True)}


async def _query_store(
    client: AdminClient, member: MemberReport, limit: asyncio.Semaphore
) -> StoreReport | AdminCallError:
    async with limit:
        result = await client.get_from(member.admin, STATUS_PATH, QUERY_TIMEOUT_S)
    decoded = result.bind(parse_store_report)
    report: StoreReport | AdminCallError = decoded.ok if decoded.is_ok() else decoded.error
    return report


def parse_store_report(answer: AdminResponse) -> Result[StoreReport, AdminCallError]:
    """Decode a store's report from a response."""
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
    """Decode an edge process's report from a response."""
    document = answer.json_value()
    if not answer.is_success or not isinstance(document, dict):
        return Error(AdminCallError("read the status", answer.peer, f"status {answer.status}, no report"))
    try:
        return Ok(_decoder.decode(document))
    except (MissingField, InvalidFieldValue) as error:
        return Error(AdminCallError("read the status", answer.peer, str(error)))


def _is_other_live_edge(member: MemberReport, report: StatusReport) -> bool:
    return member.alive and member.role == EDGE and bool(member.admin) and member.name != report.process.name


async def _query_edge(
    client: AdminClient, member: MemberReport, limit: asyncio.Semaphore
) -> ProcessReport | AdminCallError:
    async with limit:
        answer = await client.get_from(member.admin, STATUS_PATH, QUERY_TIMEOUT_S)
    if answer.is_error():
        failure: AdminCallError = answer.error
        return failure
    decoded = parse_status_report(answer.ok)
    if decoded.is_error():
        decode_error: AdminCallError = decoded.error
        return decode_error
    report: StatusReport = decoded.ok
    return report.process


_decoder = BasicDecoder(StatusReport)
_store_decoder = BasicDecoder(StoreReport)
