"""Which environment variables the sources read, found in their syntax trees."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

READS = ("get", "setdefault", "pop")


def variables_read(sources: Path) -> set[str]:
    """The names of all environment variables that the modules of a folder read, or name to `click`."""
    trees = [ast.parse(file.read_text()) for file in sorted(sources.rglob("*.py"))]
    constants = {name: value for tree in trees for name, value in _constants(tree)}
    found = set()
    for tree in trees:
        for name in _named(tree):
            if isinstance(name, ast.Constant) and isinstance(name.value, str):
                found.add(name.value)
            else:
                text = ast.unparse(name).rpartition(".")[2]
                found.add(constants.get(text, f"not known: {ast.unparse(name)}"))
    return found


def _constants(tree: ast.Module) -> Iterator[tuple[str, str]]:
    for node in tree.body:
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Constant):
            value = node.value.value
            if isinstance(value, str):
                yield from ((each.id, value) for each in node.targets if isinstance(each, ast.Name))


def _named(tree: ast.Module) -> Iterator[ast.expr]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Subscript) and _is_environment(node.value):
            yield node.slice
        elif isinstance(node, ast.Call):
            if _reads_environment(node.func):
                yield node.args[0]
            yield from (each.value for each in node.keywords if each.arg == "envvar")


def _reads_environment(function: ast.expr) -> bool:
    if not isinstance(function, ast.Attribute):
        return False
    return function.attr == "getenv" or (function.attr in READS and _is_environment(function.value))


def _is_environment(node: ast.expr) -> bool:
    return ast.unparse(node).rpartition(".")[2] in ("environ", "environment")
