"""Maps the adapter names of the settings to adapter factories."""

from collections.abc import Callable

from hibiscuspass.backends import engine
from hibiscuspass.backends import etcd_kv
from hibiscuspass.backends import http_service
from hibiscuspass.backends import http_vm_list
from hibiscuspass.backends import http_weight_store
from hibiscuspass.backends import kv_store
from hibiscuspass.backends import openai_engine
from hibiscuspass.backends import service
from hibiscuspass.backends import vm_list
from hibiscuspass.backends import weight_store

# The factories take the base address of the service. Those of backend servers
# take the server's name and its `host:port`.
KV_STORES: dict[str, Callable[[str], kv_store.KvStore]] = {
    "etcd": etcd_kv.make_etcd_kv
}
VM_LISTS: dict[str, Callable[[str], vm_list.VmList]] = {
    "http": http_vm_list.make_http_vm_list
}
WEIGHT_STORES: dict[str, Callable[[str], weight_store.WeightStore]] = {
    "http": http_weight_store.make_http_weight_store
}
ENGINES: dict[str, Callable[[str, str], engine.Engine]] = {
    "openai": openai_engine.make_openai_engine
}
SERVICES: dict[str, Callable[[str, str], service.Service]] = {
    "http": http_service.make_http_service
}
