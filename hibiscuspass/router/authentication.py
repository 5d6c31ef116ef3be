"""Checks callers' bearer keys."""

import hashlib
import hmac

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.router import config_source

_SCHEME = "bearer "
_ZERO_SALT = "00" * 16


def secret_digest(salt: str, secret: str) -> str:
    """Returns the hex digest of a hex-encoded salt and a secret.

    Secrets are random, so one round of SHA-256 suffices.
    """
    data = bytes.fromhex(salt) + secret.encode()
    return hashlib.sha256(data).hexdigest()


def authenticate(
    header: str, config: config_source.ConfigSource
) -> workspace_lib.Workspace | refusal.Refusal:
    """Returns the workspace of an `Authorization` header.

    The secret is hashed and compared for unknown key ids too, so that the
    response time does not tell which key ids exist.
    """
    token = header[len(_SCHEME) :].strip()
    key_id, dot, secret = token.partition(".")
    well_formed = header[: len(_SCHEME)].lower() == _SCHEME and bool(dot)
    workspace = config.workspace_by_key_id(key_id) if well_formed else None
    salt, digest = _stored_key(workspace, key_id)
    matches = hmac.compare_digest(
        secret_digest(salt, secret).encode(), digest.encode()
    )
    if workspace is None or not matches:
        return refusal.Refusal(
            reason.Reason.UNAUTHENTICATED,
            "'Authorization' must be 'Bearer <key id>.<secret>' of a valid key",
        )
    if not workspace.enabled:
        return refusal.Refusal(
            reason.Reason.FORBIDDEN,
            f"workspace {workspace.name!r} is disabled",
        )
    return workspace


def _stored_key(
    workspace: workspace_lib.Workspace | None, key_id: str
) -> tuple[str, str]:
    keys = workspace.access_keys if workspace is not None else ()
    return next(
        ((k.salt, k.digest) for k in keys if k.key_id == key_id),
        (_ZERO_SALT, ""),
    )
