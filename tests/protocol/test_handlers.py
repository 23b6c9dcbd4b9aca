"""Dispatch of messages to handlers by message type."""

from __future__ import annotations

import asyncio

import pytest

from hollowusher.protocol.consensus import Ping
from hollowusher.protocol.handlers import HandlerTable
from hollowusher.protocol.view import ReadView


def make_table() -> HandlerTable:
    async def answer_read(message: ReadView) -> str:
        return f"view for {type(message).__name__}"

    table = HandlerTable()
    table.add(ReadView, answer_read)
    return table


def test_message_goes_to_the_handler_of_its_type() -> None:
    assert asyncio.run(make_table().handle(ReadView())) == "view for ReadView"


def test_unregistered_type_has_no_response() -> None:
    table = make_table()
    assert not table.handles("no message")
    assert asyncio.run(table.handle("no message")) is None


def test_handled_types_are_listed() -> None:
    table = make_table()
    assert table.handles(ReadView())
    assert list(table.types) == [ReadView]
    assert Ping not in table.types


def test_second_handler_of_a_type_is_rejected() -> None:
    async def other(message: ReadView) -> None:
        pass

    table = make_table()
    with pytest.raises(ValueError, match="ReadView already has a handler"):
        table.add(ReadView, other)
