"""Exchanges announcements of long prompts with neighbours.

A router estimates the load of engines better if it knows the prompts that other
routers have sent to them. In a small fleet all routers are neighbours. In a
large one each router receives the announcements of a bounded number of others.
"""

import time

from hibiscuspass.core import incarnation
from hibiscuspass.core.forwarding import backend_selector as selector_lib
from hibiscuspass.core.forwarding import backend_selectors as selectors_lib
from hibiscuspass.core.forwarding import messages
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.peers import pynng_pubsub

# An engine has read a shorter prompt before the announcement arrives.
_MIN_TOKENS = 1000


class DispatchAnnouncer:
    """Publishes the long prompts of this router and records those of peers."""

    def __init__(
        self,
        pubsub: pynng_pubsub.PynngPubSub,
        selectors: selectors_lib.BackendSelectors,
        service_of: selectors_lib.ServiceLookup,
    ) -> None:
        self._pubsub = pubsub
        self._selectors = selectors
        self._service_of = service_of
        pubsub.register(messages.Sent, self._on_sent)

    def announce(
        self,
        service: route_lib.Service,
        req: request_lib.ForwardRequest,
        choice: selector_lib.Choice,
    ) -> None:
        """Publishes a send if its prompt is long."""
        if choice.new_tokens < _MIN_TOKENS:
            return
        msg = messages.Sent(
            service.name,
            choice.backend.instance,
            [p.part_id for p in req.prompt_parts],
            [p.tokens for p in req.prompt_parts],
            choice.new_tokens,
        )
        self._pubsub.publish(msg)

    def _on_sent(self, _: incarnation.Incarnation, msg: messages.Sent) -> None:
        service = self._service_of(msg.service)
        if service is not None:
            parts = tuple(
                request_lib.PromptPart(part_id, tokens)
                for part_id, tokens in zip(
                    msg.part_ids, msg.part_tokens, strict=False
                )
            )
            self._selectors.of(service).on_peer_sent(
                msg.instance, parts, msg.new_tokens, time.monotonic()
            )
