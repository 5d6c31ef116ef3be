"""Desired state of an engine and the placement record that stores it."""

from collections.abc import Mapping

import attrs
import msgspec

from hibiscuspass.backends import engine

SERVE = "serve"
PREFILL = "prefill"
DECODE = "decode"
DRAIN = "drain"


@attrs.frozen
class DesiredState:
    """Models, adapters and role that an engine should have.

    Attributes:
      models: Version of each model, by model name.
      adapters: Sorted names of the adapters.
      role: `serve`, `prefill`, `decode` or `drain`.
    """

    models: Mapping[str, str]
    adapters: tuple[str, ...] = ()
    role: str = SERVE

    def matches(self, state: engine.EngineState) -> bool:
        """Returns whether the reported state equals this desired state."""
        return (
            dict(state.models) == dict(self.models)
            and sorted(state.adapters) == sorted(self.adapters)
            and state.role == self.role
        )


@attrs.frozen
class PlacementRecord:
    """Value of the key `placement/<backend>`.

    Attributes:
      fence: Fencing token of the coordinator that wrote the record.
      generation: Number that increases with each write of the key.
      desired: Desired state of the engine.
    """

    fence: int
    generation: int
    desired: DesiredState

    def order(self) -> engine.Order:
        """Returns the order that brings the engine to the desired state."""
        return engine.Order(
            fence=self.fence,
            generation=self.generation,
            models=self.desired.models,
            adapters=self.desired.adapters,
            role=self.desired.role,
        )


def encode(record: PlacementRecord) -> bytes:
    """Returns the record as JSON."""
    return msgspec.json.encode(record)


def decode(value: bytes) -> PlacementRecord | None:
    """Returns the record encoded in `value`, or None if it is invalid."""
    try:
        return msgspec.json.decode(value, type=PlacementRecord)
    except msgspec.MsgspecError:
        return None
