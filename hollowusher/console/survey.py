"""The state of a whole system: one process's report, how control stands, and what each other process says."""

from __future__ import annotations

import asyncio

import attrs
from expression import Error, Ok, Result
from mashumaro.codecs.basic import BasicDecoder
from mashumaro.exceptions import InvalidFieldValue, MissingField

from hollowusher.console.client import AdminClient, Answer, CallError
from hollowusher.console.control_report import read_control
from hollowusher.console.report import MemberReport, ProcessReport, StatusReport
from hollowusher.console.store_report import StoreReport
from hollowusher.protocol.control_status import ControlStatus

STATUS_PATH = "/status"
CONTROL_PATH = "/control"
EDGE = "edge"
STORE = "store"
NOT_FOUND = 404
MOST_ASKED = 64
ASKED_AT_ONCE = 32
ASK_TIMEOUT_S = 1.5
CONTROL_TIMEOUT_S = 2.5  # the process asked asks the controllers in turn


@attrs.frozen
class Survey:
    """`report` is that of the process asked first.  `processes` holds what each edge process that was asked
    says of itself, or why it gave no answer; `not_asked` counts the others that are alive.  `control` is None
    where the process asked is too old to tell."""

    report: StatusReport
    processes: dict[str, ProcessReport | CallError]
    not_asked: int = 0
    control: ControlStatus | CallError | None = None
    stores: dict[str, StoreReport | CallError] = attrs.Factory(dict)


async def take_survey(client: AdminClient, everyone: bool) -> Result[Survey, CallError]:
    """Ask one process for its report, and the other living edge processes for theirs."""
    first = await client.ask("GET", STATUS_PATH)
    if first.is_error():
        return Error(first.error)
    read = read_report(first.ok)
    if read.is_error():
        return Error(read.error)
    report = read.ok
    control, stores = await asyncio.gather(
        _ask_control(client, first.ok.peer), _ask_stores(client, report, everyone)
    )
    others = [member for member in report.members.entries if _to_ask(member, report)]
    asked = others if everyone else others[:MOST_ASKED]
    limit = asyncio.Semaphore(ASKED_AT_ONCE)
    answers = await asyncio.gather(*(_ask(client, member, limit) for member in asked))
    processes: dict[str, ProcessReport | CallError] = {report.process.name: report.process}
    processes |= {member.name: answer for member, answer in zip(asked, answers, strict=True)}
    return Ok(Survey(report, processes, len(others) - len(asked), control, stores))


async def _ask_control(client: AdminClient, address: str) -> ControlStatus | CallError | None:
    result = await client.ask_one(address, CONTROL_PATH, CONTROL_TIMEOUT_S)
    if result.is_ok() and result.ok.status == NOT_FOUND:
        return None
    read = result.bind(read_control)
    status: ControlStatus | CallError = read.ok if read.is_ok() else read.error
    return status


async def _ask_stores(
    client: AdminClient, report: StatusReport, everyone: bool
) -> dict[str, StoreReport | CallError]:
    """What the living stores with an address of their own say of themselves."""
    stores = [each for each in report.members.entries if each.alive and each.role == STORE and each.admin]
    asked = stores if everyone else stores[:MOST_ASKED]
    limit = asyncio.Semaphore(ASKED_AT_ONCE)
    answers = await asyncio.gather(*(_ask_store(client, member, limit) for member in asked))
    return {member.name: answer for member, answer in zip(asked, answers, strict=True)}


async def _ask_store(
    client: AdminClient, member: MemberReport, limit: asyncio.Semaphore
) -> StoreReport | CallError:
    async with limit:
        result = await client.ask_one(member.admin, STATUS_PATH, ASK_TIMEOUT_S)
    read = result.bind(read_store)
    told: StoreReport | CallError = read.ok if read.is_ok() else read.error
    return told


def read_store(answer: Answer) -> Result[StoreReport, CallError]:
    """The report in a store's answer."""
    document = answer.document()
    if not answer.taken or not isinstance(document, dict):
        return Error(CallError("read the store's status", answer.peer, f"status {answer.status}, no report"))
    try:
        return Ok(_store_decoder.decode(document))
    except (MissingField, InvalidFieldValue) as error:
        return Error(CallError("read the store's status", answer.peer, str(error)))


def read_report(answer: Answer) -> Result[StatusReport, CallError]:
    """The report in an answer's body."""
    document = answer.document()
    if not answer.taken or not isinstance(document, dict):
        return Error(CallError("read the status", answer.peer, f"status {answer.status}, no report"))
    try:
        return Ok(_decoder.decode(document))
    except (MissingField, InvalidFieldValue) as error:
        return Error(CallError("read the status", answer.peer, str(error)))


def _to_ask(member: MemberReport, report: StatusReport) -> bool:
    return member.alive and member.role == EDGE and bool(member.admin) and member.name != report.process.name


async def _ask(
    client: AdminClient, member: MemberReport, limit: asyncio.Semaphore
) -> ProcessReport | CallError:
    async with limit:
        answer = await client.ask_one(member.admin, STATUS_PATH, ASK_TIMEOUT_S)
    if answer.is_error():
        failure: CallError = answer.error
        return failure
    read = read_report(answer.ok)
    if read.is_error():
        wrong: CallError = read.error
        return wrong
    report: StatusReport = read.ok
    return report.process


_decoder = BasicDecoder(StatusReport)
_store_decoder = BasicDecoder(StoreReport)
