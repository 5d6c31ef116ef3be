"""State and helper functions shared by the handlers of the API."""

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
    """Services that the handlers of the administration API share.

    Attributes:
      configs: Store of workspaces and templates.
      tracker: Determines the status of configuration changes.
      registrations: Lists and ends registrations of routers.
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
        """Records an action of an operator in the log and the timeline."""
        operator = request[access.OPERATOR]
        _log.info("operator action", action=kind, operator=operator, **fields)
        self.recorder.emit(kind, operator=operator, **fields)


def name_from_path(request: web.Request, field: str = "name") -> str:
    """Returns a name from the path of a request.

    Raises:
      ReplyError: The name is not valid for a workspace or template.
    """
    name = request.match_info[field]
    if not checks.NAME.fullmatch(name):
        problem = structure.Problem(field, name, checks.NAME_RULE)
        raise replies.ReplyError(replies.from_problems([problem]))
    return name


def view_workspace(ws: workspace_lib.Workspace) -> dict[str, Any]:
    """Returns a workspace as JSON data, with key ids instead of key hashes."""
    data: dict[str, Any] = structure.unstructure(ws)
    data["access_keys"] = [k.key_id for k in ws.access_keys]
    return data


def view_stored(
    stored: config_store.Stored[Any] | config_store.Malformed,
) -> dict[str, Any]:
    """Returns a stored record as JSON data."""
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


def check_outcome(outcome: Any, subject: str) -> Any:
    """Returns the outcome of a configuration store operation if it succeeded.

    Args:
      outcome: Result of the operation.
      subject: Description of the record for error messages.

    Raises:
      ReplyError: The outcome is a refusal, a conflict, None or malformed.
    """
    if isinstance(outcome, refusal.Refusal):
        raise replies.ReplyError(replies.from_refusal(outcome))
    if outcome is None:
        raise replies.ReplyError(
            replies.error(reason.Reason.NOT_FOUND, f"{subject} does not exist")
        )
    if isinstance(outcome, config_store.Malformed):
        raise replies.ReplyError(
            replies.error(
                reason.Reason.CONFLICT,
                f"{subject} has a malformed value at revision"
                f" {outcome.revision}; overwrite it with this revision",
                current=view_stored(outcome),
            )
        )
    if isinstance(outcome, config_store.Conflict):
        raise replies.ReplyError(_conflict(outcome, subject))
    return outcome


def _conflict(
    conflict: config_store.Conflict[Any], subject: str
) -> web.Response:
    current = conflict.current
    if current is None:
        return replies.error(
            reason.Reason.CONFLICT,
            f"{subject} does not exist any more; to create it, pass revision 0",
            current=None,
        )
    view = view_stored(current)
    changed_by = view.get("operator") or "unknown"
    return replies.error(
        reason.Reason.CONFLICT,
        f"{subject} was changed to revision {view['revision']} by {changed_by};"
        " look at that change and repeat with its revision",
        current=view,
    )
