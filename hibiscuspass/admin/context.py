"""What the handlers of the administration API share."""

from typing import Any

from aiohttp import web
import attrs

from hibiscuspass.admin import access
from hibiscuspass.admin import change_status
from hibiscuspass.admin import config_store
from hibiscuspass.admin import registrations
from hibiscuspass.admin import replies
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.settings import checks
from hibiscuspass.settings import structure
from hibiscuspass.telemetry import logs
from hibiscuspass.telemetry import recorder as recorder_lib

_log = logs.get_logger(__name__)


@attrs.frozen
class AdminContext:
    """Parts of the administration program.

    Attributes:
      configs: Workspaces and templates.
      tracker: Status of changes.
      registrations: Registrations of routers.
      recorder: Timeline of this process.
      models: Names of the models that workspaces may use.
      services: Names of the plain services that workspaces may use.
    """

    configs: config_store.ConfigStore
    tracker: change_status.ChangeTracker
    registrations: registrations.RegistrationJanitor
    recorder: recorder_lib.Recorder
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()

    def audit(self, request: web.Request, kind: str, **fields: Any) -> None:
        """Records what an operator did, in log and timeline."""
        operator = request[access.OPERATOR]
        _log.info("operator action", action=kind, operator=operator, **fields)
        self.recorder.emit(kind, operator=operator, **fields)


def name_of(request: web.Request, field: str = "name") -> str:
    """Returns a name from the path.

    Raises:
      ReplyError: The name has a form that no workspace or template can have.
    """
    name = request.match_info[field]
    if not checks.NAME.fullmatch(name):
        problem = structure.Problem(field, name, checks.NAME_RULE)
        raise replies.ReplyError(replies.of_problems([problem]))
    return name


def view_workspace(ws: workspace_lib.Workspace) -> dict[str, Any]:
    """Returns a workspace for operators: key ids instead of key hashes."""
    data: dict[str, Any] = structure.unstructure(ws)
    data["access_keys"] = [k.key_id for k in ws.access_keys]
    return data


def view_stored(
    stored: config_store.Stored[Any] | config_store.Malformed,
) -> dict[str, Any]:
    """Returns a stored record for operators."""
    if isinstance(stored, config_store.Malformed):
        return {
            "revision": stored.revision,
            "malformed": [str(p) for p in stored.problems],
        }
    record = stored.record
    data = {
        "revision": stored.revision,
        "operator": "" if record is None else record.operator,
    }
    if record is None:
        return {**data, "deleted": True}
    if hasattr(record, "workspace"):
        return {**data, "workspace": view_workspace(record.workspace)}
    return {**data, "template": structure.unstructure(record.template)}


def check_outcome(outcome: Any, what: str) -> Any:
    """Returns a successful outcome of the configuration store.

    Raises:
      ReplyError: The outcome is a refusal, a lost race, absent or malformed.
    """
    if isinstance(outcome, refusal.Refusal):
        raise replies.ReplyError(replies.of_refusal(outcome))
    if outcome is None:
        raise replies.ReplyError(
            replies.error(reason.Reason.NOT_FOUND, f"{what} does not exist")
        )
    if isinstance(outcome, config_store.Malformed):
        raise replies.ReplyError(
            replies.error(
                reason.Reason.CONFLICT,
                f"{what} has a malformed value at revision"
                f" {outcome.revision}; overwrite it with this revision",
                current=view_stored(outcome),
            )
        )
    if isinstance(outcome, config_store.Conflict):
        raise replies.ReplyError(_conflict(outcome, what))
    return outcome


def _conflict(conflict: config_store.Conflict[Any], what: str) -> web.Response:
    current = conflict.current
    if current is None:
        return replies.error(
            reason.Reason.CONFLICT,
            f"{what} does not exist any more; to create it, pass revision 0",
            current=None,
        )
    view = view_stored(current)
    by = view.get("operator") or "unknown"
    return replies.error(
        reason.Reason.CONFLICT,
        f"{what} was changed to revision {view['revision']} by {by};"
        " look at that change and repeat with its revision",
        current=view,
    )
