"""What members say to one another, and how large it is on the wire.

A member is known by its name.  Its process is known by `process_id`, drawn at each start; `incarnation`
orders what is said of a name, whichever process says it.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

from msgspec import Meta, Struct

MAX_NAME_BYTES = 32  # bytes of a name, and of an address
MAX_DATAGRAM_BYTES = 256  # bytes, as the platform allows between schedulers
MAX_PROCESS_ID = 2**32 - 1
MAX_INCARNATION = 2**53  # seconds of the wall clock at the start, and one more for each answer to an accuser

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_BYTES)]
ShortText = Annotated[str, Meta(max_length=MAX_NAME_BYTES)]
Count = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
Uint32 = Annotated[int, Meta(ge=0, le=MAX_PROCESS_ID)]


class MemberStatus(IntEnum):
    """What is said of a member.  At one incarnation the higher one counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MessageKind(IntEnum):
    """What a message is for."""

    PING = 0  # are you there?
    ACK = 1  # I am; or, for whom `target` names, it is
    ASK = 2  # ping `target` for me
    NACK = 3  # I did, and have no answer yet: so at least I am there
    DIGEST = 4  # what my view hashes to, part by part; send me what differs
    PAGE = 5  # what differs


class MemberUpdate(Struct, frozen=True, array_like=True):
    """One thing said of one member.  `by` accuses, where it is suspect; `address` where it names one."""

    name: Name
    process_id: Uint32
    incarnation: Count
    standing: MemberStatus = MemberStatus.ALIVE
    by: ShortText = ""
    address: ShortText = ""

    def supersedes(self, other: MemberUpdate) -> bool:
        """Whether this is newer: by incarnation, then by standing, then (two processes of one name that came
        to the same incarnation) by life, so that all come to the same end."""
        return (self.incarnation, self.standing, self.process_id) > (
            other.incarnation,
            other.standing,
            other.process_id,
        )


class Message(Struct, frozen=True, array_like=True):
    """One datagram.  `sender` speaks for itself: that it is alive in this life, at this incarnation."""

    kind: MessageKind
    sender: MemberUpdate
    number: Count = 0  # of the sender's view
    seq: Uint32 = 0
    target: ShortText = ""
    news: tuple[MemberUpdate, ...] = ()
    hashes: tuple[Uint32, ...] = ()


def number_bytes(value: int) -> int:
    """MessagePack's bytes for a whole number from 0 on."""
    return 1 if value < 128 else 2 if value < 256 else 3 if value < 65_536 else 5 if value < 2**32 else 9


def text_bytes(text: str) -> int:
    """MessagePack's bytes for a short text."""
    length = len(text.encode())
    return length + (1 if length < 32 else 2)


def update_bytes(update: MemberUpdate) -> int:
    """Bytes that this update takes on the wire."""
    return (
        2
        + text_bytes(update.name)
        + number_bytes(update.process_id)
        + number_bytes(update.incarnation)
        + text_bytes(update.by)
        + text_bytes(update.address)
    )


HEADER_BYTES = 11  # magic, version, cluster, checksum: see codec.py


def message_bytes(message: Message) -> int:
    """Bytes of the datagram; each list is counted at its longest head."""
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
