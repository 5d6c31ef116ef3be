"""Tests of the list of known faults."""

import pathlib

from tests import known_red

_TEXT = """Checks that fail.

check: tests/test_a.py, test_of_something
command: make test
seen: once, tests/test_b.py, test_other passed

check: tests/test_c.py,
  test_on_the_next_line, with other examples
issue: 4

check: benchmarks/test_d.py, bound on refusals
issue: 4
"""


def test_only_listed_tests_may_fail() -> None:
    """A test that an entry merely mentions must still fail the suite."""
    assert known_red.listed_tests(_TEXT) == {
        ("tests/test_a.py", "test_of_something"),
        ("tests/test_c.py", "test_on_the_next_line"),
    }


def test_listed_tests_exist() -> None:
    """Guards against entries for tests that were renamed or removed."""
    root = pathlib.Path(__file__).parent.parent
    for file, name in known_red.listed_tests():
        assert f"def {name}(" in (root / file).read_text()
