"""The messages between members, and their sizes on the wire.

A member is identified by its name.  Each start of its process draws a random `process_id`.  `incarnation`
orders all updates about one name, whichever process they describe.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

from msgspec import Meta, Struct

MAX_NAME_BYTES = 32  # maximum length of a name and of an address, in bytes
MAX_DATAGRAM_BYTES = 256  # limit of the platform for datagrams between schedulers
MAX_PROCESS_ID = 2**32 - 1
MAX_INCARNATION = 2**53  # an incarnation starts at the wall clock in seconds; each refutation adds one

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_BYTES)]
ShortText = Annotated[str, Meta(max_length=MAX_NAME_BYTES)]
Count = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
Uint32 = Annotated[int, Meta(ge=0, le=MAX_PROCESS_ID)]


class MemberStatus(IntEnum):
    """The state of a member.  Of two updates with the same incarnation, the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MessageKind(IntEnum):
    """The kind of a message."""

    PING = 0  # requests an acknowledgement
    ACK = 1  # acknowledges a ping; with `target`, relays the acknowledgement of that member
    ASK = 2  # requests an indirect ping of `target`
    NACK = 3  # a helper is reachable, but `target` has not acknowledged its indirect ping yet
    DIGEST = 4  # the hashes of the sender's view; requests the records that differ
    PAGE = 5  # records that differ


class MemberUpdate(Struct, frozen=True, array_like=True):
    """The reported state of one member.  `by`: the reporting member; `address`: of the member, if known."""

    name: Name
    process_id: Uint32
    incarnation: Count
    standing: MemberStatus = MemberStatus.ALIVE
    by: ShortText = ""
    address: ShortText = ""

    def supersedes(self, other: MemberUpdate) -> bool:
        """Whether this update replaces `other`: by incarnation, then by state, then by process id.

        The process id decides between two processes of one name that reached the same incarnation, so that
        all members choose the same one.
        """
        return (self.incarnation, self.standing, self.process_id) > (
            other.incarnation,
            other.standing,
            other.process_id,
        )


class Message(Struct, frozen=True, array_like=True):
    """The content of one datagram.  `sender` is the sender's own state, process id and incarnation."""

    kind: MessageKind
    sender: MemberUpdate
    number: Count = 0  # number of the sender's view
    seq: Uint32 = 0
    target: ShortText = ""
    news: tuple[MemberUpdate, ...] = ()
    hashes: tuple[Uint32, ...] = ()


def number_bytes(value: int) -> int:
    """Returns the MessagePack size in bytes of a non-negative integer."""
    return 1 if value < 128 else 2 if value < 256 else 3 if value < 65_536 else 5 if value < 2**32 else 9


def text_bytes(text: str) -> int:
    """Returns the MessagePack size in bytes of a short string."""
    length = len(text.encode())
    return length + (1 if length < 32 else 2)


def update_bytes(update: MemberUpdate) -> int:
    """Returns the size of an update on the wire, in bytes."""
    return (
        2
        + text_bytes(update.name)
        + number_bytes(update.process_id)
        + number_bytes(update.incarnation)
        + text_bytes(update.by)
        + text_bytes(update.address)
    )


HEADER_BYTES = 11  # magic, version, cluster, checksum; see codec.py


def message_bytes(message: Message) -> int:
    """Returns an upper bound of the datagram size in bytes: each list counts with its longest header."""
    return (
        HEADER_BYTES
        + 2
        + update_bytes(message.sender)
        + number_bytes(message.number)
        + number_bytes(message.seq)
        + text_bytes(message.target)
        + 3
        + sum(map(update_bytes, message.news))
        + 3
        + sum(map(number_bytes, message.hashes))
    )
