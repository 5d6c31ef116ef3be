"""An event loop whose virtual clock jumps to the next timer."""

import asyncio
from collections.abc import Awaitable
import selectors
from typing import Any


class _JumpingSelector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("all tasks wait and no timer is set")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in order without waiting for them."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """See base class."""
        return self._jumping.now_s


def run(main: Awaitable[Any]) -> Any:
    """Runs a coroutine in virtual time, starting at 0 s."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)  # type: ignore[arg-type]


def now_s() -> float:
    """Returns the virtual time in seconds."""
    return asyncio.get_running_loop().time()
