"""Guards against configured standing reserves that are never drawn."""

import attrs
from reactivex import subject

from hibiscuspass.core.configuration import entry as entry_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.router import config_source
from hibiscuspass.router import reserve_keeper


@attrs.define
class _Config(config_source.ConfigSource):
    workspaces: dict[str, workspace_lib.Workspace] = attrs.field(factory=dict)

    def workspace(self, name):
        return self.workspaces.get(name)

    def workspace_by_key_id(self, key_id):
        return None

    def revision(self, name):
        return 1


def test_reserves_follow_the_configuration():
    config, changes, kept = _Config(), subject.Subject(), []
    keeper = reserve_keeper.ReserveKeeper(
        config, changes, lambda names: kept.append(list(names))
    )
    for name, reserve in (("a", 0), ("b", 10), ("c", 5), ("b", 10), ("b", 0)):
        config.workspaces[name] = workspace_lib.Workspace(
            name, reserve_per_failure_domain=reserve
        )
        changes.on_next(entry_lib.ConfigEntry(name, b"", 1))
    del config.workspaces["c"]
    changes.on_next(entry_lib.ConfigEntry("c", None, 2))
    keeper.close()
    config.workspaces["a"] = workspace_lib.Workspace(
        "a", reserve_per_failure_domain=1
    )
    changes.on_next(entry_lib.ConfigEntry("a", b"", 3))
    assert kept == [["b"], ["b", "c"], ["c"], []]
