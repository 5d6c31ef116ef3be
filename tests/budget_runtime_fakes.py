"""In-memory fakes of the dependencies of budget runtimes."""

import asyncio

import reactivex
from reactivex import subject

from hibiscuspass.backends import kv_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.core.membership import fleet_view
from hibiscuspass.peers import transport as transport_lib
from hibiscuspass.router import config_source
from hibiscuspass.router import fleet_source


class MemoryKv(kv_store.KvStore):
    """Key-value service in memory.

    Attributes:
      data: Stored values by key.
      lose_replies: Number of next writes that take effect but lose their reply.
      up: Whether reads of one key and writes reach the service.
      changed: Set by each write.
    """

    def __init__(self):
        self.data = {}
        self.revision = 0
        self.lose_replies = 0
        self.up = True
        self.changed = asyncio.Event()

    async def get(self, key, *, timeout_s):
        await asyncio.sleep(0)
        if not self.up:
            return refusal.Refusal(reason_lib.Reason.UNAVAILABLE)
        found = self.data.get(key)
        return kv_store.ReadResult((found,) if found else (), self.revision)

    async def get_prefix(self, prefix, *, timeout_s):
        await asyncio.sleep(0)
        found = [
            v for k, v in sorted(self.data.items()) if k.startswith(prefix)
        ]
        return kv_store.ReadResult(tuple(found), self.revision)

    async def compare_and_swap(
        self, key, expected_revision, value, *, lease_id=0, timeout_s
    ):
        await asyncio.sleep(0)
        if not self.up:
            return refusal.Refusal(reason_lib.Reason.UNAVAILABLE)
        found = self.data.get(key)
        if (found.revision if found else 0) != expected_revision:
            return kv_store.CasResult(False, 0, found)
        self.revision += 1
        self.data[key] = kv_store.KeyValue(key, value, self.revision)
        self.changed.set()
        if self.lose_replies:
            self.lose_replies -= 1
            return refusal.Refusal(reason_lib.Reason.TIMEOUT)
        return kv_store.CasResult(True, self.revision)

    async def grant_lease(self, ttl_s, *, timeout_s):
        raise NotImplementedError

    async def keep_alive(self, lease_id, *, timeout_s):
        raise NotImplementedError

    async def revoke_lease(self, lease_id, *, timeout_s):
        raise NotImplementedError

    def watch(self, prefix, from_revision):
        raise NotImplementedError


class MemoryLinks:
    """Connects the transports of one test.

    Attributes:
      handlers: Message handlers by type, by name of the process.
      down: Names of unreachable processes.
    """

    def __init__(self):
        self.handlers = {}
        self.down = set()


class MemoryTransport(transport_lib.Transport):
    """Transport that calls the peer's handler in the same event loop."""

    def __init__(self, links: MemoryLinks, own: incarnation.Incarnation):
        self._links = links
        self._own = own
        links.handlers[own.name] = {}

    async def request(self, address, msg, *, timeout_s):
        await asyncio.sleep(0)
        if address in self._links.down or self._own.name in self._links.down:
            return refusal.Refusal(reason_lib.Reason.UNAVAILABLE)
        handler = self._links.handlers[address][type(msg)]
        try:
            return await asyncio.wait_for(handler(self._own, msg), timeout_s)
        except TimeoutError:
            return refusal.Refusal(reason_lib.Reason.TIMEOUT)

    def register(self, msg_type, handler):
        handlers = self._links.handlers[self._own.name]
        assert msg_type not in handlers
        handlers[msg_type] = handler

    async def start(self):
        pass

    async def close(self):
        pass


class MemoryFleet(fleet_source.FleetSource):
    """Membership whose view is set by the test."""

    def __init__(self):
        self._changes = subject.BehaviorSubject(fleet_view.FleetView())

    def view(self):
        return self._changes.value

    def changes(self) -> reactivex.Observable:
        return self._changes

    def set(self, view: fleet_view.FleetView):
        self._changes.on_next(view)


class OneWorkspace(config_source.ConfigSource):
    """Configuration source with one workspace."""

    def __init__(self, workspace: workspace_lib.Workspace):
        self._workspace = workspace

    def workspace(self, name):
        return self._workspace if name == self._workspace.name else None

    def workspace_by_key_id(self, key_id):
        return None

    def revision(self, name):
        return 1
