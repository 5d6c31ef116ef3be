"""JSON form of ledgers, stored under `ledger/<workspace>`."""

import msgspec

from hibiscuspass.core.budget import ledger as ledger_lib

_KEY_PREFIX = "ledger/"
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(ledger_lib.Ledger)


def key(workspace: str) -> str:
    """Returns the key of a workspace's ledger."""
    return _KEY_PREFIX + workspace


def encode(led: ledger_lib.Ledger) -> bytes:
    """Returns the JSON of a ledger."""
    return _encoder.encode(led)


def decode(value: bytes) -> ledger_lib.Ledger:
    """Returns the ledger from its JSON.

    Raises:
      ledger_lib.InvariantError: The amounts contradict each other.
      msgspec.DecodeError: The value is not a ledger.
    """
    return _decoder.decode(value)
