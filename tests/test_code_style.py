"""Checks the rules of the code style that the linter does not cover."""

import ast
import importlib
import pathlib

import pytest

_ROOT = pathlib.Path(__file__).parent.parent
_PACKAGES = ("hibiscuspass", "standins", "tests", "benchmarks")
_MAX_FILE_LINES = 400
# Imports of names are allowed from these modules by the style guide.
_NAME_IMPORTS_ALLOWED = ("typing", "collections.abc", "__future__")
_FILES = sorted(
    path for name in _PACKAGES for path in (_ROOT / name).rglob("*.py")
)


def _is_module(parent: str, name: str) -> bool:
    try:
        importlib.import_module(f"{parent}.{name}")
    except ModuleNotFoundError:
        return False
    return True


def _imported_names(tree: ast.Module) -> list[str]:
    return [
        f"{node.module}.{alias.name}"
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        and node.module not in _NAME_IMPORTS_ALLOWED
        for alias in node.names
        if not _is_module(node.module or "", alias.name)
    ]


@pytest.mark.parametrize(
    "path", _FILES, ids=lambda path: str(path.relative_to(_ROOT))
)
def test_file_follows_the_house_rules(path: pathlib.Path):
    """Checks that only modules are imported and that files stay short."""
    text = path.read_text()
    assert _imported_names(ast.parse(text)) == []
    assert len(text.splitlines()) <= _MAX_FILE_LINES
