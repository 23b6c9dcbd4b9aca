"""The condition of a store, as far as placement needs it."""

from __future__ import annotations

import attrs

from hollowusher.protocol.membership import Member


@attrs.frozen
class StoreCondition:
    """The newest state of a store's process, and for how long it has been in that state.

    `member` is None for a store that this controller knows by its name alone, from the placement.
    """

    member: Member | None
    state_age_s: float

    @property
    def is_alive(self) -> bool:
        """Whether its process is alive."""
        return self.member is not None and self.member.alive

    @property
    def store_id(self) -> str:
        """Name and disk id of the newest incarnation; empty for a store that has never registered here."""
        return "" if self.member is None else self.member.store_id
