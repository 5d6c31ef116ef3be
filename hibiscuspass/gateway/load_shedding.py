"""Measures the delay of the event loop and sheds connections by it."""

import asyncio
from collections.abc import Callable
import time

from aiohttp import web
import prometheus_client
import structlog

from hibiscuspass.core.forwarding import router_load

_log = structlog.get_logger(__name__)

_INTERVAL_S = 0.1
# A timer that is later shows that the whole process was suspended.
_MAX_DELAY_S = 3.0


class LoadShedding:
    """Follows the load of this router until cancelled."""

    def __init__(
        self,
        registry: prometheus_client.CollectorRegistry,
        monotonic_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._monotonic_s = monotonic_s
        self._load = router_load.RouterLoad(
            router_load.ShedConfig(), monotonic_s()
        )
        self._closed = prometheus_client.Counter(
            "hibiscuspass_gateway_shed_connections",
            "Connections of callers that were closed because of overload.",
            registry=registry,
        )
        prometheus_client.Gauge(
            "hibiscuspass_gateway_loop_delay_seconds",
            "Mean delay of the event loop.",
            registry=registry,
        ).set_function(lambda: self._load.delay_s)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should assign new connections."""
        return self._load.is_ready

    def on_answer(self, response: web.StreamResponse) -> None:
        """Closes the connection after an answer if the router is overloaded.

        Args:
          response: Answer whose head was not sent yet; others are ignored. Its
            caller gets it whole and opens a new connection.
        """
        if self._load.is_overloaded and not response.prepared:
            response.force_close()
            self._closed.inc()

    async def run(self) -> None:
        """Measures the delay of the loop until cancelled."""
        while True:
            due_s = self._monotonic_s() + _INTERVAL_S
            await asyncio.sleep(_INTERVAL_S)
            now_s = self._monotonic_s()
            was_ready = self._load.is_ready
            delay_s = max(0.0, now_s - due_s)
            if delay_s <= _MAX_DELAY_S:
                self._load.on_delay(delay_s, now_s)
            if self._load.is_ready != was_ready:
                _log.info(
                    "router overloaded"
                    if was_ready
                    else "router takes new connections",
                    loop_delay_ms=round(self._load.delay_s * 1000),
                )
