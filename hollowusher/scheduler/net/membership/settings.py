"""The [peers] and [peer] sections of the settings file."""

from __future__ import annotations

from dataclasses import dataclass, field

from hollowusher.scheduler.settings.model import ConfigError, Directive, Section, address, count, switch, word
from hollowusher.scheduler.settings.reader import Sheet

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """Configuration of the membership protocol between schedulers."""

    enabled: bool = False
    listen: Address | None = None  # None: the protocol is disabled
    name: str = ""  # the name of this scheduler among the peers
    cluster: str = "hollowusher"
    most_messages: int = 200
    peers: dict[str, Address] = field(default_factory=dict)


_BASE = PeersConfig()
PEERS = Section(
    "peers",
    "Membership among the schedulers (docs/membership.md). Off on the platform.",
    (
        Directive(
            "enabled", switch(), _BASE.enabled, "whether this scheduler takes part in the membership protocol"
        ),
        Directive(
            "platform",
            switch(),
            False,
            "whether it uses the platform's `peer_listen` and `peers`, if the platform allows messages",
        ),
        Directive("listen", address(), None, "UDP address that receives messages of the other schedulers"),
        Directive(
            "cluster",
            word(64),
            _BASE.cluster,
            "cluster name shared by all members; messages of other clusters are ignored",
        ),
        Directive(
            "most-messages",
            count(10, 100_000),
            _BASE.most_messages,
            "most datagrams sent per second; further ones are dropped and counted",
        ),
    ),
)
PEER = Section(
    "peer",
    "One scheduler, including this one; the title is its name.",
    (Directive("address", address(), None, "its UDP address", needed=True),),
    titled=True,
)


@dataclass(frozen=True, slots=True)
class PlatformPeers:
    """The platform's settings for messages between schedulers; the default allows no messages."""

    messages: bool = False
    me: int = 0
    listen: Address | None = None
    addresses: tuple[Address, ...] = ()  # indexed by scheduler number, including this scheduler


def read_peers(sheet: Sheet, name: str = "scheduler", platform: PlatformPeers | None = None) -> PeersConfig:
    """Read the sections for the scheduler called `name`, with the platform's settings if `platform` is on.

    Raises ConfigError if the membership protocol is enabled without a listening address or without peers."""
    own = sheet.one(PEERS)
    if own["platform"]:
        platform = platform or PlatformPeers()
        if own["enabled"]:
            raise own.fault(
                "platform", "does not go with `enabled`: set only one of the two, as each defines the peers"
            )
        if not platform.messages or platform.listen is None or len(platform.addresses) < 2:
            return _BASE  # the platform allows no messages or lists no other scheduler
        if not 0 <= platform.me < len(platform.addresses):
            raise ConfigError(f"peers: has no address for our own number, {platform.me}")
        peers = {f"n{number}": where for number, where in enumerate(platform.addresses)}
        return PeersConfig(
            True, platform.listen, f"n{platform.me}", own["cluster"], own["most-messages"], peers
        )
    peers = {block.title: block["address"] for block in sheet.all(PEER)}
    if own["enabled"] and own["listen"] is None:
        raise own.fault("enabled", "has no place to hear the others: set `listen` as well")
    if own["enabled"] and not peers:
        raise own.fault("enabled", "names nobody: add a [peer NAME] section for each scheduler")
    if not own["enabled"]:
        return _BASE
    if name not in peers:
        raise own.fault("enabled", f"our own name, {name!r}, is none of the [peer NAME] sections")
    return PeersConfig(True, own["listen"], name, own["cluster"], own["most-messages"], peers)
