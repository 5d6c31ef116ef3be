"""Runs the distribution of configuration on a router.

Changes arrive by a watch and by polls of the key-value service and by
announcements of peers.
"""

import asyncio

import prometheus_client
import reactivex
from reactivex import subject

from hibiscuspass.backends import kv_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import entry as entry_lib
from hibiscuspass.core.configuration import keys
from hibiscuspass.core.configuration import member as member_lib
from hibiscuspass.core.configuration import messages
from hibiscuspass.core.configuration import table as table_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.peers import codec
from hibiscuspass.peers import transport as transport_lib
from hibiscuspass.router import config_forwarder
from hibiscuspass.router import config_metrics
from hibiscuspass.router import config_presence
from hibiscuspass.router import config_source
from hibiscuspass.router import config_streams
from hibiscuspass.router import fleet_source
from hibiscuspass.settings import checks
from hibiscuspass.settings import config_sync
from hibiscuspass.settings import process as process_lib
from hibiscuspass.settings import secrets
from hibiscuspass.telemetry import logs
from hibiscuspass.telemetry import recorder as recorder_lib

_log = logs.get_logger(__name__)

for _type in messages.MESSAGE_TYPES:
    codec.DEFAULT.add(_type)


class ConfigRuntime(config_source.ConfigSource):
    """Merges watched, polled and announced changes into one table.

    Workspaces are loaded on first use: call `load` or `load_by_key_id` before
    the synchronous methods of `ConfigSource`, which only see loaded
    workspaces.
    """

    def __init__(
        self,
        presence: config_presence.Presence,
        store: kv_store.KvStore,
        transport: transport_lib.Transport,
        recorder: recorder_lib.Recorder,
        process: incarnation.Incarnation,
        cfg: config_sync.ConfigSyncSettings,
        kv_timeout_s: float,
        metrics: config_metrics.ConfigMetrics,
    ) -> None:
        self._metrics = metrics
        self._presence = presence
        self._store = store
        self._transport = transport
        self._recorder = recorder
        self._process = str(process)
        self._cfg = cfg
        self._kv_timeout_s = kv_timeout_s
        self.table = table_lib.ConfigTable(cfg.max_workspaces)
        self._watch = config_streams.WatchStream(store, cfg, metrics)
        self._poll = config_streams.PollStream(
            store, cfg, self.table, kv_timeout_s, self._watch
        )
        self._announcements: subject.Subject[config_streams.ReceivedEntry] = (
            subject.Subject()
        )
        self._forwarder = config_forwarder.ConfigForwarder(
            transport, presence, cfg, seed=self._process
        )
        self._changes: subject.Subject[entry_lib.ConfigEntry] = (
            subject.Subject()
        )
        self._subscription = reactivex.merge(
            self._watch.entries, self._poll.entries, self._announcements
        ).subscribe(self._apply_received)
        self._loads: dict[str, asyncio.Task[refusal.Refusal | None]] = {}
        self._tasks: list[asyncio.Task[None]] = []
        transport.register(messages.ConfigAnnounce, self._on_announce)
        transport.register(messages.ConfigHello, self._on_hello)
        transport.register(messages.ConfigFetch, self._on_fetch)

    # Interface of the request path.

    def workspace(self, name: str) -> workspace_lib.Workspace | None:
        """Returns a loaded workspace's configuration."""
        found = self.table.get(name)
        return None if found is None else found.workspace

    def workspace_by_key_id(
        self, key_id: str
    ) -> workspace_lib.Workspace | None:
        """Returns the loaded workspace that an access key belongs to."""
        ws = self.workspace(secrets.workspace_of_key_id(key_id))
        has_key = ws is not None and any(
            k.key_id == key_id for k in ws.access_keys
        )
        return ws if has_key else None

    def revision(self, name: str) -> int:
        """Returns the current revision, 0 if the workspace isn't loaded."""
        return self.table.revision(name)

    async def load(
        self, name: str
    ) -> workspace_lib.Workspace | refusal.Refusal | None:
        """Returns a workspace's configuration, loading it if necessary.

        Returns:
          The configuration; None if there is no such workspace; or a refusal:
          `UNAVAILABLE` if neither the key-value service nor a peer could
          provide it, `NOT_READY` if this router is not discoverable yet.
        """
        found = self.table.get(name)
        if found is not None:
            return found.workspace
        if not checks.NAME.fullmatch(name):
            return None
        if not self._presence.is_discoverable:
            return refusal.Refusal(
                reason.Reason.NOT_READY,
                "the router is not registered yet",
                retry_after_s=self._cfg.retry_interval_s,
            )
        if name not in self._loads:
            task = asyncio.create_task(self._load(name))
            self._loads[name] = task
            task.add_done_callback(lambda _: self._loads.pop(name, None))
        # Shielded because a caller that disconnects must not cancel a load
        # that other callers wait for.
        failed = await asyncio.shield(self._loads[name])
        if failed is not None:
            return failed
        return self.workspace(name)

    async def load_by_key_id(
        self, key_id: str
    ) -> workspace_lib.Workspace | refusal.Refusal | None:
        """Loads the workspace that an access key belongs to; see `load`."""
        loaded = await self.load(secrets.workspace_of_key_id(key_id))
        if loaded is None or isinstance(loaded, refusal.Refusal):
            return loaded
        return self.workspace_by_key_id(key_id)

    def changes(self) -> reactivex.Observable[entry_lib.ConfigEntry]:
        """Returns an observable of the changes of loaded workspaces."""
        return self._changes

    def is_ready(self) -> bool:
        """Returns whether this router may serve configuration."""
        return self._presence.is_discoverable

    # Start and stop.

    async def start(self) -> None:
        """Makes this router discoverable and starts to follow changes.

        Returns after the first attempt, which may have failed; the background
        tasks repeat it. See `is_ready`.
        """
        await self._presence.make_discoverable()
        loops = (
            self._watch.run(),
            self._poll.run(self._presence),
            self._maintain_presence(),
            self._forwarder.run(),
        )
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    async def stop(self) -> None:
        """Stops all tasks and removes the registration.

        Call it after the last request has ended.
        """
        await self._cancel_tasks()
        await self._presence.leave()
        self._subscription.dispose()

    async def abort(self) -> None:
        """Stops all tasks and keeps the registration, as a crash would."""
        await self._cancel_tasks()
        self._subscription.dispose()

    async def _cancel_tasks(self) -> None:
        tasks = [*self._tasks, *self._loads.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks = []

    # Received changes.

    def _apply_received(self, received: config_streams.ReceivedEntry) -> None:
        entry = received.entry
        effect = self.table.apply_announced(entry)
        self._record_effect(received.source, entry, effect)
        if effect in (
            table_lib.Applied.CHANGED,
            table_lib.Applied.FLOOR_RAISED,
        ):
            self._forwarder.add(entry)

    def _record_effect(
        self,
        source: str,
        entry: entry_lib.ConfigEntry,
        effect: table_lib.Applied,
    ) -> None:
        self._metrics.entries.labels(source, effect.value).inc()
        if effect is table_lib.Applied.CHANGED:
            self._recorder.emit(
                "config.applied",
                workspace=entry.name,
                revision=entry.revision,
                source=source,
            )
            self._changes.on_next(entry)
        if effect is table_lib.Applied.MALFORMED:
            _log.error(
                "malformed configuration ignored",
                workspace=entry.name,
                revision=entry.revision,
                problems=[str(p) for p in table_lib.problems(entry)],
            )

    async def _maintain_presence(self) -> None:
        while True:
            if not await self._presence.maintain():
                self.table.drop_all()
            self._metrics.registered.set(self._presence.is_registered)
            is_registered = self._presence.is_registered
            await asyncio.sleep(
                self._cfg.poll_interval_s
                if is_registered
                else self._cfg.retry_interval_s
            )

    # Loading on demand.

    async def _load(self, name: str) -> refusal.Refusal | None:
        read = await self._store.get(
            keys.workspace(name), timeout_s=self._kv_timeout_s
        )
        if isinstance(read, kv_store.ReadResult):
            entry = config_streams.entry_from_read(name, read)
            if self._apply_loaded(name, entry, read.revision, "key_value"):
                return None
        for address in self._presence.config_peer_addresses():
            reply = await self._transport.request(
                address,
                messages.ConfigFetch((name,)),
                timeout_s=self._cfg.peer_timeout_s,
            )
            if isinstance(reply, messages.ConfigCopy) and any(
                self._apply_loaded(name, e, 0, "peer") for e in reply.entries
            ):
                return None
        self._metrics.loads.labels("none").inc()
        return refusal.Refusal(
            reason.Reason.UNAVAILABLE,
            f"configuration of workspace {name!r} can't be read: the"
            " key-value service does not answer and no peer has it",
            retry_after_s=self._cfg.retry_interval_s,
        )

    def _apply_loaded(
        self,
        name: str,
        entry: entry_lib.ConfigEntry,
        as_of: int,
        source: str,
    ) -> bool:
        """Applies an entry that was read to load a workspace.

        Returns:
          Whether the workspace is loaded now.
        """
        if entry.name != name:
            return False
        self._record_effect(source, entry, self.table.apply_read(entry, as_of))
        is_loaded = self.table.get(name) is not None
        if is_loaded:
            self._metrics.loads.labels(source).inc()
        return is_loaded

    # Requests of peers and administration programs.

    async def _on_announce(
        self, _: incarnation.Incarnation, msg: messages.ConfigAnnounce
    ) -> messages.ConfigAck:
        for entry in msg.entries:
            self._announcements.on_next(
                config_streams.ReceivedEntry("announcement", entry)
            )
        return self._make_ack(tuple(e.name for e in msg.entries))

    async def _on_hello(
        self, _: incarnation.Incarnation, msg: messages.ConfigHello
    ) -> messages.ConfigAck:
        self._presence.advertise(msg.routers)
        return self._make_ack(())

    async def _on_fetch(
        self, _: incarnation.Incarnation, msg: messages.ConfigFetch
    ) -> messages.ConfigCopy:
        return messages.ConfigCopy(self.table.snapshot(msg.names))

    def _make_ack(self, names: tuple[str, ...]) -> messages.ConfigAck:
        # The floors are read after the entries were applied, because the
        # acknowledged revisions must include them.
        return messages.ConfigAck(
            self._process,
            tuple(messages.Acknowledged(n, self.table.floor(n)) for n in names),
            self._presence.advertised_routers(),
        )


def make_config_runtime(
    *,
    process: incarnation.Incarnation,
    place: process_lib.ProcessSettings,
    peer_address: str,
    store: kv_store.KvStore,
    transport: transport_lib.Transport,
    fleet: fleet_source.FleetSource,
    recorder: recorder_lib.Recorder,
    cfg: config_sync.ConfigSyncSettings,
    kv_timeout_s: float,
    metrics_registry: prometheus_client.CollectorRegistry | None = None,
) -> ConfigRuntime:
    """Builds the configuration runtime of a router.

    Args:
      process: Incarnation of this router.
      place: Settings with the failure domain and region of this router.
      peer_address: `host:port` at which peers reach this router.
      store: Key-value service.
      transport: Transport for peer messages; handlers are registered with it.
      fleet: Current view of the routers.
      recorder: Recorder of timeline events.
      cfg: Intervals and bounds.
      kv_timeout_s: Time limit of one call to the key-value service.
      metrics_registry: Registry of the metrics; by default a new one.
    """
    member = member_lib.Member(peer_address, place.failure_domain, place.region)
    presence = config_presence.Presence(
        config_presence.PresenceContext(
            process=process,
            member=member,
            store=store,
            transport=transport,
            fleet=fleet,
            kv_timeout_s=kv_timeout_s,
            peer_timeout_s=cfg.peer_timeout_s,
        )
    )
    return ConfigRuntime(
        presence,
        store,
        transport,
        recorder,
        process,
        cfg,
        kv_timeout_s,
        config_metrics.ConfigMetrics(metrics_registry),
    )
