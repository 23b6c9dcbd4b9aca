"""The command words of the roles: `python -m hollowusher edge` and `python -m hollowusher store`.

The settings file's path stands in `HOLLOWUSHER_CONFIG`.  A file that cannot be used ends the start with one
line that names the key.
"""

from __future__ import annotations

import os
import sys

SETTINGS_VARIABLE = "HOLLOWUSHER_CONFIG"
DEFAULT_SETTINGS = "/etc/hollowusher/boot.toml"


def run_role(role: str) -> int:
    """Run one process of a role until it is stopped; the exit code."""
    from hollowusher.configuration.boot import SettingsError, read_settings

    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)
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

        return uvloop.run(serve_edge(settings, path))
    from hollowusher.roles.store import serve_store

    return uvloop.run(serve_store(settings, path))
