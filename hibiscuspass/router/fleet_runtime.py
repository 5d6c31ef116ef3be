"""Runs membership on asyncio: polls the VM list and exchanges heartbeats."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random
import time
from typing import Any

import reactivex
from reactivex import operators as ops
from reactivex import subject
import structlog

from hibiscuspass.backends import vm_list
from hibiscuspass.core import incarnation as incarnation_lib
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.membership import config
from hibiscuspass.core.membership import fleet_view
from hibiscuspass.core.membership import messages
from hibiscuspass.core.membership import tracker
from hibiscuspass.peers import transport as transport_lib
from hibiscuspass.router import fleet_source
from hibiscuspass.telemetry import recorder as recorder_lib

# Attempts to push urgent changes to a peer. If all fail, the next heartbeat
# rounds deliver the changes.
_PUSH_ATTEMPTS = 2

_log = structlog.get_logger(__name__)


class FleetRuntime(fleet_source.FleetSource):
    """Maintains the view of the fleet.

    All methods are called on the event loop's thread.
    """

    def __init__(
        self,
        cfg: config.MembershipConfig,
        member_tracker: tracker.Tracker,
        transport: transport_lib.Transport,
        vms: vm_list.VmList,
        *,
        rng: random.Random,
        monotonic: Callable[[], float] = time.monotonic,
        recorder: recorder_lib.Recorder | None = None,
    ) -> None:
        self._cfg = cfg
        self._rng = rng
        self._tracker = member_tracker
        self._transport = transport
        self._vms = vms
        self._monotonic = monotonic
        self._recorder = recorder
        self._views: subject.BehaviorSubject[fleet_view.FleetView] = (
            subject.BehaviorSubject(member_tracker.view(monotonic()))
        )
        self._loops: list[asyncio.Task[None]] = []
        self._pushes: set[asyncio.Task[None]] = set()
        self._closed = False
        transport.register(messages.Heartbeat, self._on_heartbeat)

    def view(self) -> fleet_view.FleetView:
        """See base class."""
        return self._views.value

    def changes(self) -> reactivex.Observable[fleet_view.FleetView]:
        """See base class."""
        return self._views.pipe(ops.distinct_until_changed())

    def report_backend(self, name: str, draining: bool) -> None:
        """Records whether a backend server accepts work.

        Args:
          name: Name of the backend server.
          draining: True if a load report or a refusal of the server said that
            it accepts no new work; False if a load report said that it does.
            A completed request is no evidence, because it started earlier.
        """
        self._tracker.report_backend(name, draining, self._monotonic())
        self._publish()

    def set_leaving(self) -> None:
        """Marks this process as leaving and pushes that to peers."""
        self._tracker.set_leaving()
        self._publish()

    async def start(self) -> None:
        """Reads the VM list, runs a heartbeat round and starts both loops."""
        await self.poll_list()
        await self.heartbeat_round()
        self._loops = [
            asyncio.create_task(
                self._repeat(self.poll_list, self._list_interval_s)
            ),
            asyncio.create_task(
                self._repeat(
                    self.heartbeat_round,
                    lambda: self._cfg.heartbeat_interval_s,
                )
            ),
        ]

    async def close(self) -> None:
        """Stops all activity; the transport and the VM list stay open."""
        self._closed = True
        tasks = [*self._loops, *self._pushes]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._views.on_completed()

    async def poll_list(self) -> None:
        """Reads the VM list; a failed read leaves the members unchanged."""
        listed = await self._vms.fetch(timeout_s=self._cfg.list_timeout_s)
        if isinstance(listed, refusal.Refusal):
            _log.warning(
                "VM list could not be read; keeping the last one",
                reason=listed.reason.value,
                detail=listed.detail,
            )
            return
        self._tracker.on_vm_list(listed, self._monotonic())
        self._publish()

    async def heartbeat_round(self) -> None:
        """Exchanges heartbeats with the routers chosen for this round."""
        targets = self._tracker.start_round(self._monotonic())
        await asyncio.gather(*(self._exchange_heartbeat(t) for t in targets))
        self._publish()

    async def settle(self) -> None:
        """Waits until all pushes of urgent changes have ended."""
        while self._pushes:
            await asyncio.gather(*self._pushes, return_exceptions=True)

    def _list_interval_s(self) -> float:
        size = self._tracker.listed_vms / self._cfg.list_vms_per_interval
        if size <= 1.0:
            return self._cfg.list_interval_s
        return self._cfg.list_interval_s * size * self._rng.uniform(0.8, 1.2)

    async def _repeat(
        self, step: Callable[[], Any], interval_s: Callable[[], float]
    ) -> None:
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        while True:
            # Skips missed rounds instead of catching up.
            next_s = max(next_s + interval_s(), loop.time())
            await asyncio.sleep(next_s - loop.time())
            try:
                await step()
            except Exception:
                # A failure of one step must not stop membership.
                _log.exception("membership step failed", step=step.__name__)

    async def _on_heartbeat(
        self, sender: incarnation_lib.Incarnation, msg: Any
    ) -> Any:
        if msg.sender.incarnation != sender:
            return refusal.Refusal(
                reason_lib.Reason.INVALID_REQUEST,
                f"heartbeat of {msg.sender.incarnation} was sent by {sender}",
            )
        now_s = self._monotonic()
        self._tracker.on_heartbeat(msg, now_s, is_reply=False)
        reply = self._tracker.make_reply(msg, now_s)
        self._publish()
        return reply

    async def _exchange_heartbeat(
        self, target: tracker.Target, *, all_marks: bool = False
    ) -> bool:
        """Sends a heartbeat and applies the reply.

        Returns:
          Whether the peer replied.
        """
        is_first_contact = not self._tracker.is_known(target.name)
        msg = self._tracker.make_heartbeat(
            self._monotonic(),
            first_contact=is_first_contact,
            all_marks=all_marks,
        )
        reply = await self._transport.request(
            target.address, msg, timeout_s=self._cfg.heartbeat_timeout_s
        )
        now_s = self._monotonic()
        if not isinstance(reply, messages.Heartbeat):
            self._tracker.on_heartbeat_failed(target.name, now_s)
            return False
        self._tracker.on_heartbeat(reply, now_s, is_reply=True)
        if self._tracker.needs_all_marks(reply) and not all_marks:
            return await self._exchange_heartbeat(target, all_marks=True)
        return True

    async def _push(self, target: tracker.Target) -> None:
        for _ in range(_PUSH_ATTEMPTS):
            if await self._exchange_heartbeat(target):
                break
        self._publish()

    def _publish(self) -> None:
        """Pushes urgent changes and emits the view if it changed."""
        if self._closed:
            return
        now_s = self._monotonic()
        if self._tracker.take_push_pending():
            for target in self._tracker.neighbours():
                task = asyncio.create_task(self._push(target))
                self._pushes.add(task)
                task.add_done_callback(self._pushes.discard)
        if not self._tracker.take_view_changed():
            return
        old, new = self._views.value, self._tracker.view(now_s)
        if new == old:
            return
        self._record_changes(old, new)
        self._views.on_next(new)

    def _record_changes(
        self, old: fleet_view.FleetView, new: fleet_view.FleetView
    ) -> None:
        if self._recorder is None:
            return
        accepted = {b.vm.name: b.accepts_work for b in old.backends}
        for backend in new.backends:
            if accepted.get(backend.vm.name) is not backend.accepts_work:
                self._recorder.emit(
                    "fleet.backend",
                    backend=backend.vm.name,
                    accepts_work=backend.accepts_work,
                )
        states = {r.incarnation: r.state for r in old.routers}
        for router in new.routers:
            if states.get(router.incarnation) is not router.state:
                self._recorder.emit(
                    "fleet.router",
                    router=str(router.incarnation),
                    state=router.state.value,
                )


def make_fleet_runtime(
    cfg: config.MembershipConfig,
    process: incarnation_lib.Incarnation,
    transport: transport_lib.Transport,
    vms: vm_list.VmList,
    *,
    peer_address: str,
    failure_domain: str,
    region: str,
    seeds: Sequence[str] = (),
    seed: int | None = None,
    monotonic: Callable[[], float] = time.monotonic,
    recorder: recorder_lib.Recorder | None = None,
) -> FleetRuntime:
    """Returns the membership runtime of a router process, not yet started.

    Args:
      cfg: Timing and bounds.
      process: Incarnation of this process.
      transport: Transport for peer messages; the heartbeat handler is
        registered with it.
      vms: VM list of the platform.
      peer_address: `host:port` at which peers reach this process.
      failure_domain: Failure domain of this process.
      region: Region of this process.
      seeds: Peer addresses to contact in addition to the listed routers.
      seed: Seed of the random generator; None for an unpredictable one.
      monotonic: Monotonic clock in seconds.
      recorder: Recorder of timeline events; None to record nothing.
    """
    own = messages.MemberRecord(
        incarnation=process,
        peer_address=peer_address,
        failure_domain=failure_domain,
        region=region,
        started_ms=time.time_ns() // 1_000_000,
    )
    rng = random.Random(seed)
    member_tracker = tracker.Tracker(cfg, own, rng, seeds)
    return FleetRuntime(
        cfg,
        member_tracker,
        transport,
        vms,
        rng=rng,
        monotonic=monotonic,
        recorder=recorder,
    )
