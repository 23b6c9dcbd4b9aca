"""The sections of the settings file about the other schedulers."""

from __future__ import annotations

from dataclasses import dataclass, field

from hollowusher.scheduler.settings.model import ConfigError, Directive, Section, address, count, switch, word
from hollowusher.scheduler.settings.reader import Sheet

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """With whom this scheduler keeps a view of who is there."""

    enabled: bool = False
    listen: Address | None = None  # None: it is off
    name: str = ""  # our own among the peers
    cluster: str = "hollowusher"
    most_messages: int = 200
    peers: dict[str, Address] = field(default_factory=dict)


_BASE = PeersConfig()
PEERS = Section(
    "peers",
    "Membership among the schedulers (docs/membership.md). Off on the platform.",
    (
        Directive("enabled", switch(), _BASE.enabled, "whether this scheduler keeps a view of the others"),
        Directive(
            "platform",
            switch(),
            False,
            "whether it does so by the platform's `peer_listen` and `peers`, where messages are allowed",
        ),
        Directive("listen", address(), None, "where it hears the others, by UDP"),
        Directive(
            "cluster", word(64), _BASE.cluster, "the name that all of them share; what others send is skipped"
        ),
        Directive(
            "most-messages",
            count(10, 100_000),
            _BASE.most_messages,
            "datagrams a second that it may send; what is beyond is dropped and counted",
        ),
    ),
)
PEER = Section(
    "peer",
    "One of the schedulers, our own among them; the title is its name.",
    (Directive("address", address(), None, "where it is heard by UDP", needed=True),),
    titled=True,
)


@dataclass(frozen=True, slots=True)
class Allowed:
    """What the platform gives for messages between schedulers: nothing, unless its settings allow them."""

    messages: bool = False
    me: int = 0
    listen: Address | None = None
    addresses: tuple[Address, ...] = ()  # by the schedulers' numbers, our own among them


def read_peers(sheet: Sheet, name: str = "scheduler", platform: Allowed | None = None) -> PeersConfig:
    """The sections' values; SettingsError where it is enabled without a place or without others."""
    own = sheet.one(PEERS)
    if own["platform"]:
        platform = platform or Allowed()
        if own["enabled"]:
            raise own.fault("platform", "does not go with `enabled`: one of the two says who the others are")
        if not platform.messages or platform.listen is None or len(platform.addresses) < 2:
            return _BASE  # there is nobody to talk to, or it is not allowed
        if not 0 <= platform.me < len(platform.addresses):
            raise ConfigError(f"peers: has no address for our own number, {platform.me}")
        peers = {f"n{number}": where for number, where in enumerate(platform.addresses)}
        return PeersConfig(
            True, platform.listen, f"n{platform.me}", own["cluster"], own["most-messages"], peers
        )
    peers = {block.title: block["address"] for block in sheet.all(PEER)}
    if own["enabled"] and own["listen"] is None:
        raise own.fault("enabled", "has no place to hear the others: give `listen` as well")
    if own["enabled"] and not peers:
        raise own.fault("enabled", "names nobody: give a [peer NAME] for each scheduler")
    if not own["enabled"]:
        return _BASE
    if name not in peers:
        raise own.fault("enabled", f"our own name, {name!r}, is none of the [peer NAME] sections")
    return PeersConfig(True, own["listen"], name, own["cluster"], own["most-messages"], peers)
