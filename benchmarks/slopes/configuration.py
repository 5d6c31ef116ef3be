"""Measures the cost of configured workspaces and of their changes."""

from benchmarks.slopes import slope
from hibiscuspass.core.configuration import entry as entry_lib
from hibiscuspass.core.configuration import record
from hibiscuspass.core.configuration import table as table_lib
from hibiscuspass.core.configuration import workspace as workspace_lib

_WORKSPACES = 1000


def _entries(revision: int) -> list[entry_lib.ConfigEntry]:
    return [
        entry_lib.ConfigEntry(ws.name, raw, revision)
        for ws, raw in (
            (ws, record.encode(record.Record(ws, "operator", "operation")))
            for ws in map(_workspace, range(_WORKSPACES))
        )
    ]


def _workspace(number: int) -> workspace_lib.Workspace:
    return workspace_lib.Workspace(
        f"workspace-{number}",
        template="standard",
        models=("model-a", "model-b"),
        access_keys=(
            workspace_lib.AccessKey(
                f"workspace-{number}.k1", "5a" * 16, "c3" * 32
            ),
        ),
    )


def _load(entries: list[entry_lib.ConfigEntry]) -> table_lib.ConfigTable:
    table = table_lib.ConfigTable(_WORKSPACES)
    for entry in entries:
        table.apply_read(entry, entry.revision)
    return table


def measure() -> list[slope.Slope]:
    """Returns the costs of the configuration subsystem."""
    entries = _entries(1)
    table = _load(entries)
    revision = 1

    def change_all() -> None:
        nonlocal revision
        revision += 1
        for entry in entries:
            table.apply_announced(
                entry_lib.ConfigEntry(entry.name, entry.raw, revision)
            )

    sizes = [len(e.raw) for e in entries if e.raw is not None]
    return [
        slope.Slope(
            "config.workspace.memory",
            slope.retained_bytes(lambda: _load(entries), _WORKSPACES)
            + sum(sizes) / _WORKSPACES,
            "B",
            "workspace in use",
        ),
        slope.Slope(
            "config.workspace.bytes",
            sum(sizes) / _WORKSPACES,
            "B",
            "workspace",
        ),
        slope.Slope(
            "config.change.cpu",
            slope.cpu_us(change_all, _WORKSPACES),
            "us",
            "change",
        ),
    ]
