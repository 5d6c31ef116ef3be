"""Copies the configuration from peers while the store's reply is slow."""

import zlib

import attrs
import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.core import config_copy
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core import value_delta
from hibiscuspass.gateway import config_follower
from hibiscuspass.gateway import evacuation_follower
from hibiscuspass.gateway import follower as follower_lib
from hibiscuspass.gateway import peer_copies
from hibiscuspass.peers import transport as transport_lib
from hibiscuspass.platform import operator_config

_log = structlog.get_logger(__name__)

_TIMEOUT_S = 1.5
# Level of zlib. Fast rather than small: routers have a fraction of a core.
_COMPRESSION_LEVEL = 1
# Largest value that the store accepts is about 1 MB.
_MAX_VALUE_BYTES = 8 << 20


class ConfigCopies(peer_copies.Copier):
    """Asks peers for the configuration, and gives it to them.

    A copy holds all that is followed below the prefix of the configuration.
    After it, the store is asked only for later changes, so an evacuation that a
    copy left out would never be noticed.
    """

    def __init__(
        self,
        transport: transport_lib.Transport,
        config: config_follower.ConfigFollower,
        evacuations: evacuation_follower.EvacuationFollower,
        follower: follower_lib.Follower,
    ) -> None:
        self._transport = transport
        self._config = config
        self._evacuations = evacuations
        self._follower = follower
        # Copies of the newest value that peers have asked for, by base.
        self._copies: dict[bytes, config_copy.OperatorConfigCopy] = {}
        self._copied_revision = 0
        transport.register(config_copy.AskOperatorConfig, self._on_ask)

    async def copy(
        self, address: str, revision: int
    ) -> kv_store.ReadResult | None:
        """See base class."""
        entry = self._config.entry
        if entry is not None:
            result = await self._ask(address, revision, entry.value)
            if not isinstance(result, refusal.Refusal):
                return result
            _log.warning(
                "unreadable copy", address=address, detail=result.detail
            )
        result = await self._ask(address, revision, None)
        if isinstance(result, refusal.Refusal):
            _log.warning(
                "unreadable copy", address=address, detail=result.detail
            )
            return None
        return result

    async def _ask(
        self, address: str, revision: int, base: bytes | None
    ) -> kv_store.ReadResult | refusal.Refusal | None:
        """Asks a peer once.

        Args:
          address: `host:port` of the peer link of the peer.
          revision: Change that the peer must have read.
          base: Value from which the peer may send a difference; None to ask for
            the whole value.

        Returns:
          The entries; None without a reply, or if the peer has not read the
          change. A refusal if the copy can't be decoded.
        """
        reply = await self._transport.request(
            address,
            config_copy.AskOperatorConfig(
                revision, b"" if base is None else value_delta.digest(base)
            ),
            timeout_s=_TIMEOUT_S,
        )
        if (
            not isinstance(reply, config_copy.OperatorConfigCopy)
            or reply.revision < revision
            or reply.evacuated is None
        ):
            return None
        value = _decode(reply, base)
        if isinstance(value, refusal.Refusal):
            return value
        _log.info(
            "configuration copied",
            address=address,
            revision=reply.revision,
            bytes=len(value),
            compressed_bytes=len(reply.data),
            is_difference=bool(reply.base),
            evacuated=reply.evacuated,
        )
        entry = kv_store.KeyValue(self._config.key, value, reply.value_revision)
        evacuations = (
            kv_store.KeyValue(
                operator_config.evacuation_key(domain),
                operator_config.EVACUATION_VALUE,
                reply.revision,
            )
            for domain in reply.evacuated
        )
        return kv_store.ReadResult((entry, *evacuations), reply.revision)

    async def _on_ask(
        self, _: incarnation.Incarnation, msg: config_copy.AskOperatorConfig
    ) -> config_copy.OperatorConfigCopy:
        entry = self._config.entry
        newest = self._follower.newest_change
        if entry is None or newest < msg.revision:
            return config_copy.OperatorConfigCopy(0, 0, b"")
        if self._copied_revision != entry.revision:
            self._copies.clear()
            self._copied_revision = entry.revision
        base = self._config.recent.find(msg.base)
        name = b"" if base is None else msg.base
        if name not in self._copies:
            self._copies[name] = _encode(entry, base)
        return attrs.evolve(
            self._copies[name],
            revision=newest,
            evacuated=sorted(self._evacuations.domains),
        )


def _encode(
    entry: kv_store.KeyValue, base: bytes | None
) -> config_copy.OperatorConfigCopy:
    """Returns a copy that names neither the newest change nor evacuations."""
    if base is None:
        data = zlib.compress(entry.value, _COMPRESSION_LEVEL)
        return config_copy.OperatorConfigCopy(0, entry.revision, data)
    delta = value_delta.encode(entry.value, base)
    return config_copy.OperatorConfigCopy(
        0, entry.revision, delta.data, base=delta.base, digest=delta.digest
    )


def _decode(
    copy: config_copy.OperatorConfigCopy, base: bytes | None
) -> bytes | refusal.Refusal:
    if copy.base:
        return value_delta.decode(
            value_delta.Delta(copy.base, copy.digest, copy.data),
            base or b"",
            _MAX_VALUE_BYTES,
        )
    try:
        return zlib.decompressobj().decompress(copy.data, _MAX_VALUE_BYTES)
    except zlib.error as exc:
        return refusal.Refusal(reason_lib.Reason.INVALID_REQUEST, str(exc))
