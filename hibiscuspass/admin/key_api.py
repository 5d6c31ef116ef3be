"""HTTP handlers for access keys of workspaces."""

from collections.abc import Callable
from typing import Any

from aiohttp import web
import attrs

from hibiscuspass.admin import access
from hibiscuspass.admin import config_store
from hibiscuspass.admin import context
from hibiscuspass.admin import replies
from hibiscuspass.admin import workspace_api
from hibiscuspass.core import reason
from hibiscuspass.core.configuration import record as record_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.settings import secrets

# Each request adds or removes one key. After a conflict it can be retried on
# the new revision without undoing the concurrent change.
_MAX_ATTEMPTS = 5

_Keys = tuple[workspace_lib.AccessKey, ...]


class KeyApi:
    """Handlers that create and revoke access keys."""

    def __init__(
        self,
        ctx: context.AdminContext,
        workspaces: workspace_api.WorkspaceApi,
    ) -> None:
        self._ctx = ctx
        self._workspaces = workspaces

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of this part of the API."""
        keys = "/v1/workspaces/{name}/keys"
        return [
            web.post(keys, self._create),
            web.delete(f"{keys}/{{key_id}}", self._revoke),
        ]

    async def _create(self, request: web.Request) -> web.Response:
        name = context.name_from_path(request)
        access_key, stored_key = secrets.make_access_key(name)
        stored = await self._change(
            request, name, lambda keys: (*keys, stored_key)
        )
        # This response is the only one that contains the secret part.
        return await self._workspaces.answer_change(
            request,
            name,
            "admin.key_created",
            stored,
            key=access_key,
            key_id=stored_key.key_id,
        )

    async def _revoke(self, request: web.Request) -> web.Response:
        name = context.name_from_path(request)
        key_id = request.match_info["key_id"]

        def remove_key(keys: _Keys) -> _Keys:
            if key_id not in [k.key_id for k in keys]:
                raise replies.ReplyError(
                    replies.error(
                        reason.Reason.NOT_FOUND,
                        f"workspace {name!r} has no key {key_id!r}; it has"
                        f" {', '.join(k.key_id for k in keys) or 'none'}",
                    )
                )
            return tuple(k for k in keys if k.key_id != key_id)

        stored = await self._change(request, name, remove_key)
        return await self._workspaces.answer_change(
            request, name, "admin.key_revoked", stored, key_id=key_id
        )

    async def _change(
        self,
        request: web.Request,
        name: str,
        edit: Callable[[_Keys], _Keys],
    ) -> config_store.Stored[Any]:
        subject = f"workspace {name!r}"
        collection = self._ctx.configs.workspaces
        outcome: Any = None
        for _ in range(_MAX_ATTEMPTS):
            current = context.check_outcome(await collection.get(name), subject)
            ws = current.record.workspace
            changed = attrs.evolve(ws, access_keys=edit(ws.access_keys))
            outcome = await collection.put(
                name,
                current.revision,
                record_lib.Record(changed, request[access.OPERATOR]),
            )
            if not isinstance(outcome, config_store.Conflict):
                break
        stored: config_store.Stored[Any] = context.check_outcome(
            outcome, subject
        )
        return stored
