"""Desired state of one engine and its stored record."""

from collections.abc import Mapping

import attrs
import msgspec

from hibiscuspass.backends import engine

SERVE = "serve"
PREFILL = "prefill"
DECODE = "decode"
DRAIN = "drain"


@attrs.frozen
class Desired:
    """What an engine should have loaded.

    Attributes:
      models: Version by model name.
      adapters: Adapters, sorted.
      role: `serve`, `prefill`, `decode` or `drain`.
    """

    models: Mapping[str, str]
    adapters: tuple[str, ...] = ()
    role: str = SERVE

    def matches(self, state: engine.EngineState) -> bool:
        """Returns whether an engine reports this state."""
        return (
            dict(state.models) == dict(self.models)
            and sorted(state.adapters) == sorted(self.adapters)
            and state.role == self.role
        )


@attrs.frozen
class Record:
    """Value of `placement/<backend>`.

    Attributes:
      fence: Fencing token of the coordinator that wrote it.
      generation: Increases with each write of the key.
      desired: Desired state.
    """

    fence: int
    generation: int
    desired: Desired

    def order(self) -> engine.Order:
        """Returns the order that brings an engine to this state."""
        return engine.Order(
            fence=self.fence,
            generation=self.generation,
            models=self.desired.models,
            adapters=self.desired.adapters,
            role=self.desired.role,
        )


def encode(record: Record) -> bytes:
    """Returns the stored form of a record."""
    return msgspec.json.encode(record)


def decode(value: bytes) -> Record | None:
    """Returns a stored record, None if it is not a valid one."""
    try:
        return msgspec.json.decode(value, type=Record)
    except msgspec.MsgspecError:
        return None
