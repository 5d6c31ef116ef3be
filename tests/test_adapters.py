"""Guards against default settings that name an unknown adapter."""

import attrs
import pytest

from hibiscuspass.backends import adapters
from hibiscuspass.settings import backend_servers
from hibiscuspass.settings import key_value
from hibiscuspass.settings import vm_list
from hibiscuspass.settings import weight_store


@pytest.mark.parametrize(
    ("cls", "field", "table"),
    [
        (key_value.KeyValueSettings, "adapter", adapters.KV_STORES),
        (vm_list.VmListSettings, "adapter", adapters.VM_LISTS),
        (weight_store.WeightStoreSettings, "adapter", adapters.WEIGHT_STORES),
        (
            backend_servers.BackendServerSettings,
            "engine_adapter",
            adapters.ENGINES,
        ),
        (
            backend_servers.BackendServerSettings,
            "service_adapter",
            adapters.SERVICES,
        ),
    ],
)
def test_default_adapter_exists(cls, field, table):
    assert attrs.fields_dict(cls)[field].default in table
