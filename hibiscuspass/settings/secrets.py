"""Fleet key, access keys and operator tokens.

Access keys and tokens have 256 random bits, so a single salted SHA-256 hash is
secure against guessing. A slow password hash would delay each request without
a benefit.
"""

import hashlib
import hmac
import pathlib
import secrets

import attrs

from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.settings import admin

_FLEET_KEY_BYTES = 32
_SALT_BYTES = 16
_SECRET_BYTES = 32
_KEY_ID_BYTES = 6

ACCESS_KEY_PREFIX = "hp"
OPERATOR_TOKEN_PREFIX = "hpo"


@attrs.frozen
class PresentedKey:
    """An access key as a caller presents it.

    Attributes:
      key_id: Public part, `<workspace>.<random>`.
      secret: Secret part.
    """

    key_id: str
    secret: str = attrs.field(repr=False)


def make_fleet_key() -> str:
    """Returns a new fleet key in hexadecimal digits, as stored in its file."""
    return secrets.token_hex(_FLEET_KEY_BYTES)


def read_fleet_key(path: str | pathlib.Path) -> bytes:
    """Reads the fleet key, at least 32 bytes in hexadecimal digits.

    Raises:
      OSError: The file can't be read.
      ValueError: The key is too short or not hexadecimal.
    """
    text = pathlib.Path(path).read_text(encoding="ascii").strip()
    try:
        key = bytes.fromhex(text)
    except ValueError:
        # The original exception would reveal a part of the key.
        raise ValueError(f"{path}: expected hexadecimal digits") from None
    if len(key) < _FLEET_KEY_BYTES:
        raise ValueError(
            f"{path}: the key has {len(key)} bytes; allowed: at least"
            f" {_FLEET_KEY_BYTES}"
        )
    return key


def _digest(salt: str, secret: str) -> str:
    return hashlib.sha256(f"{salt}:{secret}".encode()).hexdigest()


def _matches(salt: str, digest: str, secret: str) -> bool:
    return hmac.compare_digest(_digest(salt, secret).encode(), digest.encode())


def make_access_key(workspace: str) -> tuple[str, workspace_lib.AccessKey]:
    """Creates an access key.

    The key id contains the name of the workspace, so that a router finds the
    workspace without an index of all keys.

    Returns:
      The key for the caller and its salted hash for the configuration.
    """
    key_id = f"{workspace}.{secrets.token_hex(_KEY_ID_BYTES)}"
    secret = secrets.token_urlsafe(_SECRET_BYTES)
    salt = secrets.token_hex(_SALT_BYTES)
    stored = workspace_lib.AccessKey(key_id, salt, _digest(salt, secret))
    return f"{ACCESS_KEY_PREFIX}.{key_id}.{secret}", stored


def parse_access_key(text: str) -> PresentedKey | None:
    """Parses an access key; returns None if it is malformed."""
    parts = text.split(".")
    if len(parts) != 4 or parts[0] != ACCESS_KEY_PREFIX or not all(parts):
        return None
    return PresentedKey(f"{parts[1]}.{parts[2]}", parts[3])


def workspace_of_key_id(key_id: str) -> str:
    """Returns the name of the workspace that an access key id contains."""
    return key_id.partition(".")[0]


# An unknown key id is compared with this key, so that the response time does
# not reveal which key ids exist.
_DUMMY_KEY = workspace_lib.AccessKey("", "00" * _SALT_BYTES, "00" * 32)


def is_valid_access_key(
    ws: workspace_lib.Workspace | None, presented: PresentedKey
) -> bool:
    """Returns whether a workspace has the presented key, in constant time."""
    keys = () if ws is None else ws.access_keys
    stored = next((k for k in keys if k.key_id == presented.key_id), _DUMMY_KEY)
    matches = _matches(stored.salt, stored.digest, presented.secret)
    return matches and stored is not _DUMMY_KEY


def make_operator_token(name: str) -> tuple[str, admin.OperatorToken]:
    """Creates an operator token; returns it and its salted hash."""
    token = f"{OPERATOR_TOKEN_PREFIX}.{secrets.token_urlsafe(_SECRET_BYTES)}"
    salt = secrets.token_hex(_SALT_BYTES)
    return token, admin.OperatorToken(name, salt, _digest(salt, token))


def find_operator(
    operators: tuple[admin.OperatorToken, ...], token: str
) -> str | None:
    """Returns the name of the operator with a token, or None.

    The token is compared with the hashes of all operators, also after a match.
    """
    matching_names = [
        op.name for op in operators if _matches(op.salt, op.digest, token)
    ]
    return matching_names[0] if matching_names else None


def read_token_file(path: str | pathlib.Path) -> str:
    """Reads an operator token.

    Raises:
      OSError: The file can't be read.
    """
    return pathlib.Path(path).read_text(encoding="ascii").strip()
