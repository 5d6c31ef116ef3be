"""Authenticates callers by their access keys."""

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.router import config_source
from hibiscuspass.settings import secrets

_SCHEME = "bearer "


async def authenticate(
    header: str, config: config_source.ConfigSource
) -> workspace_lib.Workspace | refusal.Refusal:
    """Returns the workspace that an `Authorization` header gives access to.

    The secret is hashed and compared for unknown key ids too, so that the
    response time does not reveal which key ids exist.
    """
    scheme, token = header[: len(_SCHEME)], header[len(_SCHEME) :]
    presented = secrets.parse_access_key(token.strip())
    if scheme.lower() != _SCHEME or presented is None:
        return _unauthenticated()
    loaded = await config.load_by_key_id(presented.key_id)
    if isinstance(loaded, refusal.Refusal):
        return loaded
    if not secrets.is_valid_access_key(loaded, presented) or loaded is None:
        return _unauthenticated()
    if not loaded.enabled:
        return refusal.Refusal(
            reason.Reason.FORBIDDEN,
            f"workspace {loaded.name!r} is disabled",
        )
    return loaded


def _unauthenticated() -> refusal.Refusal:
    return refusal.Refusal(
        reason.Reason.UNAUTHENTICATED,
        "'Authorization' must be 'Bearer <access key>' with a valid key",
    )
