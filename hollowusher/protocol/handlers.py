"""Dispatch of messages to handlers by message type.  No I/O."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar, cast

Request = TypeVar("Request")
Handler = Callable[[object], Awaitable[object]]


class HandlerTable:
    """Handlers of messages: one asynchronous function for each message type.

    The result of a handler is the response to the message, `None` for a one-way message.
    """

    def __init__(self) -> None:
        self._handlers: dict[type, Handler] = {}

    @property
    def types(self) -> Iterable[type]:
        """The message types with a registered handler."""
        return self._handlers.keys()

    def add(self, message_type: type[Request], handler: Callable[[Request], Awaitable[object]]) -> None:
        """Register the handler of a message type.

        Raises
        ------
        ValueError
            If the type already has a handler, because each message type has a single owner.
        """
        if message_type in self._handlers:
            raise ValueError(f"{message_type.__name__} already has a handler")
        self._handlers[message_type] = cast("Handler", handler)

    def handles(self, message: object) -> bool:
        """Return whether the type of `message` has a handler."""
        return type(message) in self._handlers

    async def handle(self, message: object) -> object:
        """Pass a message to its handler and return the response, `None` if its type has no handler."""
        handler = self._handlers.get(type(message))
        return None if handler is None else await handler(message)
