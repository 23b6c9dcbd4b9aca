"""The pages for readers of the code name what is there: files, classes, functions, imports, links."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

from tests.test_layering import ALLOWED

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"
CHECKED_PAGES = ("architecture.md", "glossary.md", "README.md")
REFERENCE = re.compile(r"`((?:hollowusher|tests|docs|deploy|benchmarks|rehearsals)/[\w./-]*)(?::([\w.]+))?`")
SOURCE_FILE = re.compile(r"`([\w./]+\.py)(?=[`:])")
SOURCES = ("hollowusher", "tests", "benchmarks")
HISTORY = ("ROADMAP.md", "glossary.md")  # they name what was
LINK = re.compile(r"\]\((?!https?:)([^)#]+)(?:#[^)]*)?\)")


def references(page: Path) -> list[tuple[str, str]]:
    """Return the paths, and the names in them, that a page gives in backticks."""
    return REFERENCE.findall(page.read_text())


def defines(source: Path, name: str) -> bool:
    """Return whether a module defines a dotted name: a class, a function, a constant, or a method."""
    body: list[ast.stmt] = ast.parse(source.read_text()).body
    for part in name.split("."):
        found = next((node for node in body if part in _names_of(node)), None)
        if found is None:
            return False
        body = found.body if isinstance(found, ast.ClassDef) else []
    return True


def _names_of(node: ast.stmt) -> set[str]:
    if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
        return {node.name}
    if isinstance(node, ast.Assign):
        return {target.id for target in node.targets if isinstance(target, ast.Name)}
    if isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
        return {node.target.id}
    return set()


@pytest.mark.parametrize("page", CHECKED_PAGES)
def test_files_and_names_on_the_page_exist(page: str) -> None:
    wrong = []
    for path, name in references(DOCS / page):
        target = ROOT / path
        if not target.exists() or (name and not defines(target, name)):
            wrong.append(f"{path}:{name}" if name else path)
    assert not wrong


@pytest.mark.parametrize("page", sorted(DOCS.rglob("*.md")), ids=lambda page: str(page.relative_to(DOCS)))
def test_links_lead_to_files(page: Path) -> None:
    missing = [link for link in LINK.findall(page.read_text()) if not (page.parent / link).exists()]
    assert not missing


@pytest.mark.parametrize("page", sorted(DOCS.rglob("*.md")), ids=lambda page: str(page.relative_to(DOCS)))
def test_source_files_on_the_page_exist(page: Path) -> None:
    if page.name in HISTORY:
        return
    files = [str(path.relative_to(ROOT)) for top in SOURCES for path in (ROOT / top).rglob("*.py")]
    named = SOURCE_FILE.findall(page.read_text())
    assert [name for name in named if not any(f"/{file}".endswith(f"/{name}") for file in files)] == []


def test_architecture_shows_the_table_of_imports() -> None:
    shown: dict[str, set[str]] = {}
    for line in (DOCS / "architecture.md").read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 3 and re.fullmatch(r"`[\w.]+`", cells[0]) and cells[0].strip("`") in ALLOWED:
            shown[cells[0].strip("`")] = set(re.findall(r"`([\w.]+)`", cells[2]))
    assert shown == ALLOWED


def test_every_page_is_listed_in_the_reading_order() -> None:
    listed = {(DOCS / link).resolve() for link in LINK.findall((DOCS / "README.md").read_text())}
    pages = {page.resolve() for page in DOCS.rglob("*.md") if page.name != "README.md"}
    assert pages - listed == set()
