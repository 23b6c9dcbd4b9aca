"""Starts one scheduler: `python -m hollowusher`; with words, the command line."""

from __future__ import annotations

import sys

from hollowusher.app import run


def main(words: list[str] | None = None) -> int:
    """The exit code.  With words it is the command line, which is not even imported without."""
    if not (sys.argv[1:] if words is None else words):
        return run()
    try:
        from hollowusher.cli import cli
    except ModuleNotFoundError as missing:
        print(f"hollowusher: {missing.name} is not installed: the command line needs what "
              "requirements-tools.txt lists", file=sys.stderr)
        return 2
    return int(cli(words, prog_name="hollowusher") or 0)


if __name__ == "__main__":
    sys.exit(main())
