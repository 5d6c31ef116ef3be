"""Guards against going back to an older revision and unbounded memory."""

import pytest

from hibiscuspass.core.configuration import entry as entry_lib
from hibiscuspass.core.configuration import record
from hibiscuspass.core.configuration import table as table_lib
from hibiscuspass.core.configuration import workspace as workspace_lib


def _entry(name, revision, priority=5):
    ws = workspace_lib.Workspace(name, priority=priority)
    return entry_lib.ConfigEntry(
        name, record.encode(record.Record(ws)), revision
    )


def _absent(name, revision):
    return entry_lib.ConfigEntry(name, None, revision)


@pytest.fixture
def table():
    return table_lib.ConfigTable(max_workspaces=16)


def test_a_lower_revision_is_never_applied(table):
    assert (
        table.apply_read(_entry("a", 7, priority=7))
        is table_lib.Applied.CHANGED
    )
    for stale in (_entry("a", 6), _entry("a", 7), _absent("a", 5)):
        assert table.apply_announced(stale) is table_lib.Applied.NOT_NEWER
        assert table.apply_read(stale) is table_lib.Applied.NOT_NEWER
    assert table.get("a").workspace.priority == 7


def test_a_deletion_is_ordered_by_its_revision(table):
    table.apply_read(_entry("a", 7))
    assert table.apply_announced(_absent("a", 9)) is table_lib.Applied.CHANGED
    assert table.apply_announced(_entry("a", 8)) is table_lib.Applied.NOT_NEWER
    assert table.get("a").workspace is None
    assert table.apply_announced(_entry("a", 10)) is table_lib.Applied.CHANGED


def test_an_announced_workspace_that_is_not_loaded_only_raises_its_floor(
    table,
):
    effect = table.apply_announced(_entry("a", 9))
    assert effect is table_lib.Applied.FLOOR_RAISED
    assert table.get("a") is None
    assert table.floor("a") == 9
    assert table.apply_read(_entry("a", 8)) is table_lib.Applied.NOT_NEWER
    assert table.apply_read(_absent("a", 8)) is table_lib.Applied.NOT_NEWER
    assert table.apply_read(_entry("a", 9)) is table_lib.Applied.CHANGED


def test_a_late_read_does_not_undo_an_announcement(table):
    """Guards against a stale read.

    The read began before the change, and its reply arrives after the
    announcement.
    """
    table.apply_announced(_entry("a", 9))
    effect = table.apply_read(_entry("a", 4), as_of=8)
    assert effect is table_lib.Applied.NOT_NEWER


def test_memory_is_bounded_and_dropped_workspaces_keep_their_floor(table):
    for i in range(1000):
        table.apply_read(_entry(f"w{i}", 100 + i))
    assert len(table.names()) == 16
    assert len(table._floors) <= 16 * 8
    # The floor of w0 was merged into the common floor, which is higher.
    assert table.apply_read(_entry("w0", 99)) is table_lib.Applied.NOT_NEWER
    assert table.apply_read(_entry("w0", 100), as_of=1100) is (
        table_lib.Applied.CHANGED
    )


def test_unknown_names_do_not_displace_workspaces_in_use(table):
    for i in range(14):
        table.apply_read(_entry(f"w{i}", i + 1))
    for i in range(1000):
        table.apply_read(_absent(f"absent{i}", 20), as_of=20)
    assert all(table.get(f"w{i}") for i in range(14))
    assert len(table.names()) <= 16


def test_the_least_recently_used_workspace_is_dropped_first(table):
    for i in range(16):
        table.apply_read(_entry(f"w{i}", i + 1))
    table.get("w0")
    table.apply_read(_entry("new", 50))
    assert table.get("w0") is not None
    assert table.get("w1") is None


def test_repeated_reads_of_an_absent_workspace_change_nothing(table):
    assert (
        table.apply_read(_absent("a", 5), as_of=5) is table_lib.Applied.CHANGED
    )
    assert table.apply_announced(_absent("a", 6)) is table_lib.Applied.NOT_NEWER
    assert table.apply_announced(_entry("a", 6)) is table_lib.Applied.NOT_NEWER
    assert table.apply_announced(_entry("a", 7)) is table_lib.Applied.CHANGED


@pytest.mark.parametrize(
    "raw", [b"", b"[]", b'{"workspace": {"name": "a", "priority": 99}}']
)
def test_a_malformed_value_does_not_replace_the_current_entry(table, raw):
    table.apply_read(_entry("a", 7))
    bad = entry_lib.ConfigEntry("a", raw, 8)
    assert table.apply_announced(bad) is table_lib.Applied.MALFORMED
    assert table.floor("a") == 7
    assert table_lib.problems(bad)


def test_a_snapshot_holds_the_requested_workspaces_that_are_loaded(table):
    table.apply_read(_entry("a", 7))
    table.apply_announced(_entry("b", 8))
    assert table.snapshot(("a", "b", "c")) == (_entry("a", 7),)
