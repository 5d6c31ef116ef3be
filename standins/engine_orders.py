"""Loaded models of the engine test server and orders that change them."""

from typing import Any

import attrs


@attrs.define
class Orders:
    """Models, adapters and role of an engine, as set by the last order.

    Orders are numbered by the fencing token `fence` of the coordinator's term
    and by `generation` within it.
    """

    models: dict[str, str]
    adapters: list[str] = attrs.field(factory=list)
    role: str = "serve"
    fence: int = 0
    generation: int = 0

    def apply(self, order: dict[str, Any], *, check_fence: bool) -> bool:
        """Applies an order; returns False if it is outdated."""
        new = (int(order["fence"]), int(order["generation"]))
        if check_fence and new < (self.fence, self.generation):
            return False
        self.fence, self.generation = new
        self.models = dict(order["models"])
        self.adapters = list(order["adapters"])
        self.role = str(order["role"])
        return True
