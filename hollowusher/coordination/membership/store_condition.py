"""The condition of a store: the part of its membership state that placement uses."""

from __future__ import annotations

import attrs

from hollowusher.protocol.membership import Member


@attrs.frozen
class StoreCondition:
    """The newest state of a store's process, and the time in seconds since this controller received it.

    `member` is None for a store that the placement names but that is not in this controller's directory.
    `state_age_s` is then the age of the directory.
    """

    member: Member | None
    state_age_s: float

    @property
    def is_alive(self) -> bool:
        """Whether the store's process is alive."""
        return self.member is not None and self.member.alive

    @property
    def store_id(self) -> str:
        """The store id ("name/disk id") of the newest incarnation; empty if `member` is None."""
        return "" if self.member is None else self.member.store_id
