"""Wire format of the messages between the processes of the system.

A frame is the HMAC-SHA256 of the envelope (32 bytes) followed by the envelope
in msgpack. See `docs/protocols.md`.
"""

from collections.abc import Callable
import hmac
from typing import Any

import attrs
import msgspec

from hibiscuspass.core import clock
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal

_VERSION = 1
_MAC_BYTES = 32
# `hmac.digest` uses the fast implementation of OpenSSL only if the digest is
# given by name.
_DIGEST = "sha256"
# HMAC-SHA256 gains nothing from keys above its block size, and keys below the
# digest size weaken it.
MIN_KEY_BYTES = 32
# Ledger values of up to 1 MB travel inside messages.
DEFAULT_MAX_MESSAGE_BYTES = 4 * 1024 * 1024


def _refuse(reason: reason_lib.Reason, detail: str) -> refusal.Refusal:
    return refusal.Refusal(reason, detail)


class _Envelope(msgspec.Struct, array_like=True, frozen=True):
    version: int
    name: str
    sender: str
    recipient: str
    wall_ms: int
    counter: int
    exchange: bytes
    body: bytes


@attrs.frozen
class WrongRecipient:
    """Reply to a message addressed to another incarnation of this process.

    The message was not handled.
    """


@attrs.frozen
class Message:
    """A received message with its envelope.

    Attributes:
      name: Registered name of the message type.
      body: Decoded message, or a refusal with `INVALID_REQUEST` if the sender
        is authenticated but the message type is unknown or the body does not
        match it.
      sender: Process that sent the message.
      recipient: Process that the message is addressed to; None if the sender
        did not know which process runs at the address.
      at: Hybrid-logical-clock timestamp of the sender.
      exchange: Random id that matches a reply with its request.
    """

    name: str
    body: Any
    sender: incarnation.Incarnation
    recipient: incarnation.Incarnation | None
    at: clock.Timestamp
    exchange: bytes


class Registry:
    """Maps message types to their names on the wire.

    Both sides of a link need the same names.
    """

    def __init__(self) -> None:
        self._names: dict[type, str] = {}
        self._decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}
        self._types: dict[str, type] = {}
        self.add(refusal.Refusal)
        self.add(WrongRecipient)

    def add(self, msg_type: type, name: str = "") -> None:
        """Registers an attrs class; the same class may be added again.

        Args:
          msg_type: Class of the message. Field types are limited to what
            msgspec decodes: no unions of two attrs classes.
          name: Name on the wire, by default the name of the class.

        Raises:
          ValueError: `msg_type` is not an attrs class, or the name belongs to
            another class.
        """
        if not attrs.has(msg_type):
            raise ValueError(f"message type {msg_type!r}: expected attrs class")
        name = name or self._names.get(msg_type, msg_type.__name__)
        if self._types.setdefault(name, msg_type) is not msg_type:
            raise ValueError(
                f"message name {name!r} of {msg_type!r}: already used by"
                f" {self._types[name]!r}; pass another name"
            )
        self._names[msg_type] = name
        self._decoders[name] = msgspec.msgpack.Decoder(msg_type)

    def name_of(self, msg_type: type) -> str | None:
        """Returns the wire name of a registered type."""
        return self._names.get(msg_type)

    def decode_body(self, name: str, body: bytes) -> Any | refusal.Refusal:
        """Decodes the body of a message.

        Returns:
          The message, or a refusal with `INVALID_REQUEST` if the name is not
          registered or the body does not match the type.
        """
        decoder = self._decoders.get(name)
        if decoder is None:
            return _refuse(
                reason_lib.Reason.INVALID_REQUEST,
                f"message name {name!r}: not registered here",
            )
        try:
            return decoder.decode(body)
        except (msgspec.MsgspecError, ValueError) as exc:
            return _refuse(
                reason_lib.Reason.INVALID_REQUEST, f"message {name!r}: {exc}"
            )


# Registry of the running program; modules add their message types on import.
DEFAULT = Registry()


def message(name: str = "") -> Callable[[type], type]:
    """Returns a class decorator that adds a message type to `DEFAULT`."""

    def add(msg_type: type) -> type:
        DEFAULT.add(msg_type, name)
        return msg_type

    return add


class Codec:
    """Encodes, signs, verifies and decodes the messages of one process."""

    def __init__(
        self,
        process: incarnation.Incarnation,
        fleet_key: bytes,
        *,
        registry: Registry = DEFAULT,
        max_message_bytes: int = DEFAULT_MAX_MESSAGE_BYTES,
    ) -> None:
        if len(fleet_key) < MIN_KEY_BYTES:
            raise ValueError(
                f"fleet key of {len(fleet_key)} bytes: expected at least"
                f" {MIN_KEY_BYTES}"
            )
        self.registry = registry
        self.max_message_bytes = max_message_bytes
        self._sender = str(process)
        self._key = fleet_key
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_Envelope)

    def encode(
        self,
        msg: Any,
        *,
        recipient: incarnation.Incarnation | None,
        at: clock.Timestamp,
        exchange: bytes,
    ) -> bytes | refusal.Refusal:
        """Returns the frame of a message.

        Returns:
          The frame, or a refusal with `BODY_TOO_LARGE`.

        Raises:
          ValueError: The type of `msg` is not registered.
        """
        name = self.registry.name_of(type(msg))
        if name is None:
            raise ValueError(f"message {msg!r}: its type is not registered")
        envelope = self._encoder.encode(
            _Envelope(
                _VERSION,
                name,
                self._sender,
                "" if recipient is None else str(recipient),
                at.wall_ms,
                at.counter,
                exchange,
                self._encoder.encode(msg),
            )
        )
        size = _MAC_BYTES + len(envelope)
        if size > self.max_message_bytes:
            return _refuse(
                reason_lib.Reason.BODY_TOO_LARGE,
                f"message {name!r} of {size} bytes: at most"
                f" {self.max_message_bytes} are allowed",
            )
        return hmac.digest(self._key, envelope, _DIGEST) + envelope

    def decode(self, frame: bytes) -> Message | refusal.Refusal:
        """Verifies and decodes a frame.

        No part of a frame is parsed before its signature is verified.

        Returns:
          The message, or a refusal with `BODY_TOO_LARGE`, `UNAUTHENTICATED` or
          `INVALID_REQUEST`.
        """
        if len(frame) > self.max_message_bytes:
            return _refuse(
                reason_lib.Reason.BODY_TOO_LARGE,
                f"frame of {len(frame)} bytes: at most"
                f" {self.max_message_bytes} are allowed",
            )
        envelope = frame[_MAC_BYTES:]
        expected = hmac.digest(self._key, envelope, _DIGEST)
        if not hmac.compare_digest(frame[:_MAC_BYTES], expected):
            return _refuse(
                reason_lib.Reason.UNAUTHENTICATED,
                f"frame of {len(frame)} bytes: wrong signature",
            )
        return self._decode_envelope(envelope)

    def _decode_envelope(self, envelope: bytes) -> Message | refusal.Refusal:
        try:
            env = self._decoder.decode(envelope)
            if env.version != _VERSION:
                raise ValueError(f"version {env.version}: expected {_VERSION}")
            return Message(
                name=env.name,
                body=self.registry.decode_body(env.name, env.body),
                sender=incarnation.parse(env.sender),
                recipient=(
                    incarnation.parse(env.recipient) if env.recipient else None
                ),
                at=clock.Timestamp(env.wall_ms, env.counter),
                exchange=env.exchange,
            )
        except (msgspec.MsgspecError, ValueError) as exc:
            return _refuse(reason_lib.Reason.INVALID_REQUEST, str(exc))
