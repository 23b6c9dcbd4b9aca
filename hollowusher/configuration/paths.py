"""Comparison of paths, which the operator writes in prefixes and clients send as request targets."""

from __future__ import annotations

import re
import string
from urllib.parse import quote

_NORMALIZED = re.compile(r"[!#$&-;=?-\[\]_a-z~]*")  # ASCII that stands for itself, without escapes
_KEPT = "!#$%&'()*+,/:;=?@[]"  # beside letters, digits and "-._~"
_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
_UNRESERVED = frozenset(string.ascii_letters + string.digits + "-._~")


def normalized_path(text: str) -> str:
    """Return a path in the form in which paths are compared.

    Escapes of unreserved characters are decoded, all others have capital letters, and characters that a
    request target cannot contain are escaped as UTF-8 (RFC 3986, sections 2.5 and 6.2.2).
    """
    if _NORMALIZED.fullmatch(text):
        return text
    return _ESCAPE.sub(_normalized_escape, quote(text, safe=_KEPT, errors="surrogateescape"))


def _normalized_escape(escape: re.Match[str]) -> str:
    character = chr(int(escape[1], 16))
    return character if character in _UNRESERVED else escape[0].upper()
