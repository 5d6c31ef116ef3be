"""Decides when a router that is short of processor time sheds connections.

Load pattern: the load balancer assigns connections by a hash of the caller, and
callers keep their connections, so a few routers of a large fleet get many times
the mean number of requests. Requests wait in the event loops of these routers
for longer than their target latency while other routers are idle. Neither the
balancer nor the callers know of it.

A router whose event loop is late therefore reports that it isn't ready, which
directs new connections to other routers, and closes the connections of callers
after their answers until the loop is on time again. No request is refused for
it.
"""

import attrs


@attrs.frozen
class ShedConfig:
    """Parameters of the decision.

    Attributes:
      start_delay_s: Mean delay of the event loop from which connections are
        shed, in seconds. A request passes the loop about five times before its
        first send, so it has lost half a second then.
      end_delay_s: Mean delay below which the loop is on time again.
      time_constant_s: Time constant of the mean delay, in seconds.
      least_s: Shortest time for which the router isn't ready. The balancer
        acts after two failed checks, one a second.
      share: Largest share of the time for which the router isn't ready. The
        operator counts on its capacity.
      burst_s: Largest time without readiness in a row, in seconds.
    """

    start_delay_s: float = 0.1
    end_delay_s: float = 0.03
    time_constant_s: float = 0.5
    least_s: float = 2.5
    share: float = 0.1
    burst_s: float = 4.0


class RouterLoad:
    """Delay of the event loop, and what follows from it.

    All times are seconds of a monotonic clock.

    Attributes:
      delay_s: Mean delay of the event loop.
      is_overloaded: Whether connections are closed after their answers.
    """

    def __init__(self, cfg: ShedConfig, now_s: float) -> None:
        self.delay_s = 0.0
        self.is_overloaded = False
        self._cfg = cfg
        self._updated_s = now_s
        # Time without readiness that the router may still use.
        self._allowance_s = cfg.burst_s
        self._unready_since_s: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should assign new connections."""
        return self._unready_since_s is None

    def on_delay(self, delay_s: float, now_s: float) -> None:
        """Records how late the event loop was.

        Args:
          delay_s: Delay of a timer.
          now_s: Current time.
        """
        cfg = self._cfg
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        weight = elapsed_s / (elapsed_s + cfg.time_constant_s)
        self.delay_s += weight * (delay_s - self.delay_s)
        if self.delay_s >= cfg.start_delay_s:
            self.is_overloaded = True
        elif self.delay_s <= cfg.end_delay_s:
            self.is_overloaded = False
        self._update_readiness(elapsed_s, now_s)

    def _update_readiness(self, elapsed_s: float, now_s: float) -> None:
        cfg = self._cfg
        if self._unready_since_s is None:
            self._allowance_s = min(
                cfg.burst_s, self._allowance_s + cfg.share * elapsed_s
            )
            if self.is_overloaded and self._allowance_s >= cfg.least_s:
                self._unready_since_s = now_s
            return
        self._allowance_s -= elapsed_s
        is_long_enough = now_s - self._unready_since_s >= cfg.least_s
        is_over = is_long_enough and not self.is_overloaded
        if is_over or self._allowance_s <= 0.0:
            self._unready_since_s = None
