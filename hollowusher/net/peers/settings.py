"""The sections of the settings file about the other schedulers."""

from __future__ import annotations

from dataclasses import dataclass, field

from hollowusher.settings.model import Directive, Section, address, count, switch, word
from hollowusher.settings.reader import Sheet

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """With whom this scheduler keeps a view of who is there."""

    enabled: bool = False
    listen: Address | None = None
    cluster: str = "hollowusher"
    most_messages: int = 200
    peers: dict[str, Address] = field(default_factory=dict)


_BASE = PeersConfig()
PEERS = Section("peers", "Membership among the schedulers (docs/membership.md). Off on the platform.", (
    Directive("enabled", switch(), _BASE.enabled, "whether this scheduler keeps a view of the others"),
    Directive("listen", address(), None, "where it hears the others, by UDP"),
    Directive("cluster", word(64), _BASE.cluster,
              "the name that all of them share; what others send is skipped"),
    Directive("most-messages", count(10, 100_000), _BASE.most_messages,
              "datagrams a second that it may send; what is beyond is dropped and counted"),
))
PEER = Section("peer", "One of the schedulers, our own among them; the title is its name.", (
    Directive("address", address(), None, "where it is heard by UDP", needed=True),
), titled=True)


def read_peers(sheet: Sheet) -> PeersConfig:
    """The sections' values; SettingsError where it is enabled without a place or without others."""
    own = sheet.one(PEERS)
    peers = {block.title: block["address"] for block in sheet.all(PEER)}
    if own["enabled"] and own["listen"] is None:
        raise own.fault("enabled", "has no place to hear the others: give `listen` as well")
    if own["enabled"] and not peers:
        raise own.fault("enabled", "names nobody: give a [peer NAME] for each scheduler")
    return PeersConfig(own["enabled"], own["listen"], own["cluster"], own["most-messages"], peers)
