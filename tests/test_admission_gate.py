"""Guards against admission slots that cancelled calls leak."""

import asyncio
import contextlib

import pytest

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core.admission import controller
from hibiscuspass.router import admission_gate

_REQUEST = controller.AdmissionRequest("r", "ws", 5, 1, 100.0)


class _Queueing(controller.AdmissionController):
    """Queues all requests and decides on `r` when another one is released."""

    def __init__(self, outcome: controller.Admitted | refusal.Refusal):
        self._outcome = outcome
        self.released: list[str] = []

    def admit(self, req, now_s):
        return controller.Queued()

    def release(self, request_id, now_s):
        self.released.append(request_id)
        if request_id == "r":
            return ()
        return (controller.Decision("r", self._outcome),)

    def expire(self, now_s):
        return ()


@pytest.mark.parametrize(
    ("outcome", "decided", "released"),
    [
        (controller.Admitted(), False, ["r"]),
        (controller.Admitted(), True, ["other", "r"]),
        (refusal.Refusal(reason.Reason.OVERLOADED), True, ["other"]),
    ],
)
async def test_cancelled_call_releases_its_slot_once(
    outcome, decided, released
):
    queueing = _Queueing(outcome)
    gate = admission_gate.AdmissionGate(queueing)
    waiting = asyncio.create_task(gate.enter(_REQUEST))
    await asyncio.sleep(0)
    if decided:
        gate.leave("other")
    waiting.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await waiting
    assert queueing.released == released


async def test_queued_call_gets_the_later_decision():
    gate = admission_gate.AdmissionGate(_Queueing(controller.Admitted()))
    waiting = asyncio.create_task(gate.enter(_REQUEST))
    await asyncio.sleep(0)
    gate.leave("other")
    assert await waiting is None
