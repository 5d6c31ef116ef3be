"""Lets calls wait for the decisions of the admission controller."""

import asyncio
from collections.abc import Iterable

from hibiscuspass.core import refusal
from hibiscuspass.core.admission import controller as controller_lib

_EXPIRY_MARGIN_S = 0.001


class AdmissionGate:
    """Makes calls wait until they are admitted or refused."""

    def __init__(self, controller: controller_lib.AdmissionController) -> None:
        self._controller = controller
        self._waiting: dict[
            str, asyncio.Future[controller_lib.Admitted | refusal.Refusal]
        ] = {}

    async def enter(
        self, req: controller_lib.AdmissionRequest
    ) -> refusal.Refusal | None:
        """Waits until a call is admitted or refused.

        Call `leave` at the end of an admitted call, but not after a refusal or
        a cancellation of this method.

        Returns:
          None if the call is admitted, otherwise the refusal.
        """
        loop = asyncio.get_running_loop()
        decision = self._controller.admit(req, loop.time())
        if isinstance(decision, controller_lib.Queued):
            decision = await self._wait(req, loop)
        return decision if isinstance(decision, refusal.Refusal) else None

    def leave(self, request_id: str) -> None:
        """Releases the slot of an admitted call."""
        now_s = asyncio.get_running_loop().time()
        self._apply(self._controller.release(request_id, now_s))

    async def _wait(
        self,
        req: controller_lib.AdmissionRequest,
        loop: asyncio.AbstractEventLoop,
    ) -> controller_lib.Admitted | refusal.Refusal:
        fut: asyncio.Future[controller_lib.Admitted | refusal.Refusal] = (
            loop.create_future()
        )
        self._waiting[req.request_id] = fut
        timer = loop.call_later(req.deadline_s + _EXPIRY_MARGIN_S, self._expire)
        try:
            # Shielded so that a cancelled call doesn't cancel the future: the
            # decision may still be needed to release the slot.
            return await asyncio.shield(fut)
        except asyncio.CancelledError:
            self._waiting.pop(req.request_id, None)
            # A refusal may have come just before the cancellation; then there
            # is no slot to release.
            refused = fut.done() and isinstance(fut.result(), refusal.Refusal)
            if not refused:
                self.leave(req.request_id)
            raise
        finally:
            timer.cancel()

    def _expire(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._apply(self._controller.expire(now_s))

    def _apply(self, decisions: Iterable[controller_lib.Decision]) -> None:
        for decision in decisions:
            fut = self._waiting.pop(decision.request_id, None)
            if fut is not None and not fut.done():
                fut.set_result(decision.outcome)
