"""An event loop whose virtual clock jumps to the next timer."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any

# Stops endless loops by the number of steps, independent of wall time.
_MAX_IDLE_STEPS = 2_000_000


class _JumpingSelector(selectors.DefaultSelector):
    """Selector that adds the timeout to the virtual clock and never waits."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.steps = 0

    def select(self, timeout: float | None = None) -> Any:
        self.steps += 1
        if self.steps > _MAX_IDLE_STEPS:
            raise RuntimeError("the virtual loop exceeded its step limit")
        if timeout is None:
            raise RuntimeError("all tasks wait and no timer is set")
        self.now_s += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Deterministic event loop for code that sleeps and uses timeouts."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now_s


def run(coro: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine to its end on a new virtual loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coro)
