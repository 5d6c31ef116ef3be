"""Parses load reports from an engine's Prometheus metrics.

The input has the Prometheus text exposition format, version 0.0.4.
"""

from collections.abc import Iterable

from prometheus_client import parser
from prometheus_client import samples

from hibiscuspass.backends import engine

# Prefix of the series that are parsed. Engines export hundreds of others.
_PREFIX = "engine_"


def _label_values(
    engine_samples: Iterable[samples.Sample], name: str, label: str
) -> tuple[str, ...]:
    return tuple(
        sorted(
            s.labels[label]
            for s in engine_samples
            if s.name == name and s.value and label in s.labels
        )
    )


def parse_load(name: str, text: str) -> engine.LoadReport:
    """Returns the load report of engine `name`.

    Raises:
      ValueError: The text is malformed or a required series is missing.
    """
    lines = [line for line in text.split("\n") if line.startswith(_PREFIX)]
    engine_samples = [
        sample
        for family in parser.text_string_to_metric_families(
            "\n".join(lines) + "\n"
        )
        for sample in family.samples
    ]
    values = {s.name: s.value for s in engine_samples if not s.labels}
    try:
        return engine.LoadReport(
            engine=name,
            measured_at_s=values["engine_report_timestamp_seconds"],
            running=int(values["engine_requests_running"]),
            waiting=int(values["engine_requests_waiting"]),
            queued_prompt_tokens=int(values["engine_queued_prompt_tokens"]),
            kv_cache_used=values["engine_kv_cache_used_ratio"],
            models=_label_values(
                engine_samples, "engine_model_loaded", "model"
            ),
            adapters=_label_values(
                engine_samples, "engine_adapter_loaded", "adapter"
            ),
            draining=bool(values.get("engine_draining", 0.0)),
        )
    except KeyError as exc:
        raise ValueError(f"load report: series {exc.args[0]} missing") from exc
