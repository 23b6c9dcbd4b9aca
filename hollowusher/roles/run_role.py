"""Runs a role: `python -m hollowusher edge` and `python -m hollowusher store`.

The environment variable `HOLLOWUSHER_CONFIG` holds the path of the settings file.  If the file is invalid,
the process prints one line that names the key and exits with code 2.
"""

from __future__ import annotations

import gc
import os
import sys

SETTINGS_VARIABLE = "HOLLOWUSHER_CONFIG"
GC_THRESHOLD = 10_000  # allocations between collections; a collection delays the event loop
DEFAULT_SETTINGS_PATH = "/etc/hollowusher/boot.toml"


def run_role(role: str) -> int:
    """Run one process of a role until it stops, and return the exit code."""
    gc.disable()  # `_tune_garbage_collector` enables it again once it has excluded the imported objects
    from hollowusher.configuration.boot import SettingsError, read_settings

    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)
    try:
        settings = read_settings(path)
    except SettingsError as error:
        print(f"hollowusher {role}: {error}", file=sys.stderr)
        return 2
    # The processes use plain HTTP in their own network and need no certificates.  aiohttp loads all system
    # certificates when it is imported; an empty file saves a quarter of the start time.
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
    """Enable rare collections, and exclude all objects that the imports have created."""
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 20)
    gc.enable()
