"""HTTP client of the administration API."""

import asyncio
from collections.abc import Mapping
from typing import Any

import aiohttp
import attrs

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.settings import ctl as ctl_settings
from hibiscuspass.settings import secrets
from hibiscuspass.settings import tls


@attrs.frozen
class Answer:
    """Response of the administration API.

    Attributes:
      status: HTTP status.
      data: Parsed JSON, or the text if the response is not JSON.
    """

    status: int
    data: Any


def _unreachable_refusal(address: str, exc: Exception) -> refusal.Refusal:
    return refusal.Refusal(
        reason.Reason.UNAVAILABLE,
        f"administration program {address}: {exc or type(exc).__name__}",
    )


async def _send(
    cfg: ctl_settings.CtlSettings,
    token: str,
    method: str,
    path: str,
    body: Mapping[str, Any] | None,
) -> Answer:
    ssl = (
        tls.make_client_context(cfg.ca_file)
        if cfg.address.startswith("https:")
        else True
    )
    async with (
        aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=cfg.timeout_s)
        ) as session,
        session.request(
            method,
            cfg.address.rstrip("/") + path,
            json=body,
            ssl=ssl,
            headers={"Authorization": f"Bearer {token}"},
            allow_redirects=False,
        ) as response,
    ):
        if response.content_type == "application/json":
            return Answer(response.status, await response.json())
        return Answer(response.status, await response.text())


def call(
    cfg: ctl_settings.CtlSettings,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
) -> Answer | refusal.Refusal:
    """Calls the administration API once.

    Returns:
      The response, or a refusal: `UNAVAILABLE` if no connection to the
      administration program could be opened, `TIMEOUT` if the call failed in
      another way, so that a change may have taken effect, and
      `UNAUTHENTICATED` if the token file can't be read.
    """
    try:
        token = secrets.read_token_file(cfg.token_file)
    except (OSError, UnicodeDecodeError) as exc:
        return refusal.Refusal(
            reason.Reason.UNAUTHENTICATED, f"token file: {exc}"
        )
    try:
        return asyncio.run(_send(cfg, token, method, path, body))
    except aiohttp.ClientConnectorError as exc:
        return _unreachable_refusal(cfg.address, exc)
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        return refusal.Refusal(
            reason.Reason.TIMEOUT,
            f"administration program {cfg.address}:"
            f" {exc or 'no answer in time'}",
            run_state.RunState.NO
            if method == "GET"
            else run_state.RunState.UNKNOWN,
        )
