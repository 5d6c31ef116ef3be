"""Tests of following the store through a restore."""

from hibiscuspass.platform import operator_config
from tests import gateway_system


async def test_copy_after_a_restore_of_the_store_is_not_an_earlier_value() -> (
    None
):
    """Revisions start again from that of the restored copy."""
    async with gateway_system.running() as system:
        system.store.names_era = True
        backup = system.store.copy()
        for version in range(2, 8):
            system.store.apply(
                {}, {operator_config.KEY: gateway_system.config(9, version)}
            )
        followed = system.gateway._followers.config
        await system.wait_until(lambda: followed.table.version == 7)
        system.store.restore(backup)
        system.store.apply(
            {}, {operator_config.KEY: gateway_system.config(9, version=8)}
        )
        await system.wait_until(lambda: followed.table.version == 8)
        assert followed.entry == system.store.items[operator_config.KEY]
