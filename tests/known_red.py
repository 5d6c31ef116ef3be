"""Tests that `KNOWN-RED.txt` lists as failing because of a known fault."""

import pathlib
import re

_LIST = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_ENTRY = re.compile(r"^check: (tests/\w+\.py),\s+(test_\w+)", re.MULTILINE)


def listed_tests(text: str | None = None) -> frozenset[tuple[str, str]]:
    """Returns the file and the name of each listed test.

    Args:
      text: Content of the list; None to read the file.
    """
    content = _LIST.read_text() if text is None else text
    return frozenset(_ENTRY.findall(content))
