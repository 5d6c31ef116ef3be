"""Load metrics of the engine test server, with an adjustable lag."""

import collections
from collections.abc import Callable

from standins import engine_batch
from standins import engine_orders

_SAMPLES_KEPT = 1000


class LoadSampler:
    """Keeps recent load samples in Prometheus text format."""

    def __init__(
        self,
        batch: engine_batch.Batch,
        orders: engine_orders.Orders,
        wall_s: Callable[[], float],
    ) -> None:
        self._batch = batch
        self._orders = orders
        self._wall_s = wall_s
        self._samples: collections.deque[tuple[float, str]] = collections.deque(
            maxlen=_SAMPLES_KEPT
        )

    def text(self, lag_s: float, *, draining: bool) -> str:
        """Returns the newest sample that is at least `lag_s` old.

        If all samples are newer, returns the oldest one.
        """
        self.sample(draining=draining)
        limit_s = self._wall_s() - lag_s
        old = [text for at_s, text in self._samples if at_s <= limit_s]
        return old[-1] if old else self._samples[0][1]

    def sample(self, *, draining: bool) -> None:
        """Records a sample of the current load."""
        now_s = self._wall_s()
        batch = self._batch
        series: dict[str, float] = {
            "engine_report_timestamp_seconds": now_s,
            "engine_requests_running": len(batch.running),
            "engine_requests_waiting": len(batch.waiting),
            "engine_queued_prompt_tokens": batch.queued_prompt_tokens,
            "engine_kv_cache_used_ratio": batch.cache.used_ratio,
            "engine_draining": float(draining),
        }
        for model, version in self._orders.models.items():
            labels = f'model="{model}",version="{version}"'
            series[f"engine_model_loaded{{{labels}}}"] = 1
        for adapter in self._orders.adapters:
            series[f'engine_adapter_loaded{{adapter="{adapter}"}}'] = 1
        lines = [f"{name} {value!r}" for name, value in series.items()]
        self._samples.append((now_s, "\n".join(lines) + "\n"))
