"""The command words of the roles: `python -m hollowusher edge` and `python -m hollowusher store`.

The settings file's path stands in `HOLLOWUSHER_CONFIG`.  A file that cannot be used ends the start with one
line that names the key.
"""

from __future__ import annotations

import gc
import os
import sys

SETTINGS_VARIABLE = "HOLLOWUSHER_CONFIG"
GC_YOUNG_OBJECTS = 10_000  # allocations between two collections; each takes time from a turn
DEFAULT_SETTINGS_PATH = "/etc/hollowusher/boot.toml"


def run_role(role: str) -> int:
    """Run one process of a role until it is stopped; the exit code."""
    gc.disable()  # until `_tune_garbage_collector` has taken what the imports load out of collections
    from hollowusher.configuration.boot import SettingsError, read_settings

    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)
    try:
        settings = read_settings(path)
    except SettingsError as error:
        print(f"hollowusher {role}: {error}", file=sys.stderr)
        return 2
    # The processes speak plain HTTP on addresses of their own network.  aiohttp loads all certificates of the
    # system when it is imported: an empty file spares each start a quarter of its time.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)
    import uvloop

    if role == "edge":
        from hollowusher.roles.edge import serve_edge

        _tune_garbage_collector()
        return uvloop.run(serve_edge(settings, path))
    from hollowusher.roles.store import serve_store

    _tune_garbage_collector()
    return uvloop.run(serve_store(settings, path))


def _tune_garbage_collector() -> None:
    """Collect from now on, but seldom, and nothing of what the imports have made."""
    gc.freeze()
    gc.set_threshold(GC_YOUNG_OBJECTS, 20, 20)
    gc.enable()
