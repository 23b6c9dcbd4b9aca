"""The state of a whole system: one process's report, and what each other edge process says of itself."""

from __future__ import annotations

import asyncio

import attrs
from expression import Error, Ok, Result
from mashumaro.codecs.basic import BasicDecoder
from mashumaro.exceptions import InvalidFieldValue, MissingField

from hollowusher.console.client import AdminClient, Answer, CallError
from hollowusher.console.report import MemberReport, ProcessReport, StatusReport

STATUS_PATH = "/status"
EDGE = "edge"
MOST_ASKED = 64
ASKED_AT_ONCE = 32
ASK_TIMEOUT_S = 1.5


@attrs.frozen
class Survey:
    """`report` is that of the process asked first.  `processes` holds what each edge process that was asked
    says of itself, or why it gave no answer; `not_asked` counts the others that are alive."""

    report: StatusReport
    processes: dict[str, ProcessReport | CallError]
    not_asked: int = 0


async def take_survey(client: AdminClient, everyone: bool) -> Result[Survey, CallError]:
    """Ask one process for its report, and the other living edge processes for theirs."""
    first = await client.ask("GET", STATUS_PATH)
    if first.is_error():
        return Error(first.error)
    read = read_report(first.ok)
    if read.is_error():
        return Error(read.error)
    report = read.ok
    others = [member for member in report.members.entries if _to_ask(member, report)]
    asked = others if everyone else others[:MOST_ASKED]
    limit = asyncio.Semaphore(ASKED_AT_ONCE)
    answers = await asyncio.gather(*(_ask(client, member, limit) for member in asked))
    processes: dict[str, ProcessReport | CallError] = {report.process.name: report.process}
    processes |= {member.name: answer for member, answer in zip(asked, answers, strict=True)}
    return Ok(Survey(report, processes, len(others) - len(asked)))


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
