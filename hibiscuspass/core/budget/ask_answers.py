"""Answers to asks."""

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import run_state
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import permit_row

_Reason = reason_lib.Reason
_Run = run_state.RunState


def _unseen(msg: messages.Ask) -> run_state.RunState:
    # Before its entry was looked up, an earlier attempt may have run.
    return _Run.UNKNOWN if msg.keyed else _Run.NO


def attached(
    msg: messages.Ask, row: permit_row.PermitRow
) -> messages.AskAttached:
    """Answers a retry whose request has a permit."""
    return messages.AskAttached(
        msg.ask_id,
        msg.attempt_id,
        msg.request_id,
        row.backend,
        settled=row.state is not permit_row.RowState.OPEN,
    )


def exhausted(msg: messages.Ask, *, final: bool) -> messages.AskRefused:
    """Answers that the budget doesn't cover the worst case.

    For a keyed request only the holder of the primary grant, or a router that
    found no primary grant, gives this answer, so the entry was looked up.
    """
    return messages.AskRefused(
        msg.ask_id,
        msg.attempt_id,
        _Reason.BUDGET_EXHAUSTED,
        f"worst case of {msg.worst_case} units exceeds what is left of"
        f" workspace {msg.workspace!r}",
        _Run.NO,
        final=final,
    )


def unavailable(msg: messages.Ask) -> messages.AskRefused:
    """Answers that neither a grant nor the ledger can be used now."""
    if msg.keyed:
        return primary_lost(msg)
    return messages.AskRefused(
        msg.ask_id,
        msg.attempt_id,
        _Reason.BUDGET_UNAVAILABLE,
        f"no grant of workspace {msg.workspace!r} can be used now",
        _Run.NO,
        final=False,
    )


def primary_lost(msg: messages.Ask) -> messages.AskRefused:
    """Answers a keyed request while the primary grant can't be reached."""
    return messages.AskRefused(
        msg.ask_id,
        msg.attempt_id,
        _Reason.PRIMARY_UNREACHABLE,
        f"the primary grant of workspace {msg.workspace!r} can't be reached",
        _Run.UNKNOWN,
        final=False,
    )


def redirect(
    msg: messages.Ask, holder: incarnation.Incarnation
) -> messages.AskRefused:
    """Names the router that holds the primary grant."""
    return messages.AskRefused(
        msg.ask_id,
        msg.attempt_id,
        _Reason.PRIMARY_UNREACHABLE,
        f"the primary grant of workspace {msg.workspace!r} is held by {holder}",
        _Run.UNKNOWN,
        final=False,
        redirect=holder,
    )


def key_reused(msg: messages.Ask, hold: int) -> messages.AskRefused:
    """Answers a retry that asks for more than the earlier attempt."""
    return messages.AskRefused(
        msg.ask_id,
        msg.attempt_id,
        _Reason.IDEMPOTENCY_KEY_REUSED,
        f"worst case {msg.worst_case} differs from the earlier attempt's:"
        f" at most {hold} is allowed",
        _Run.UNKNOWN,
        final=True,
    )


def shutting_down(msg: messages.Ask) -> messages.AskRefused:
    """Answers while the router stops; another one should be asked."""
    return messages.AskRefused(
        msg.ask_id,
        msg.attempt_id,
        _Reason.SHUTTING_DOWN,
        "the router is stopping",
        _unseen(msg),
        final=False,
    )


def unknown_workspace(msg: messages.Ask) -> messages.AskRefused:
    """Answers for a workspace without configuration."""
    return messages.AskRefused(
        msg.ask_id,
        msg.attempt_id,
        _Reason.UNKNOWN_WORKSPACE,
        f"workspace {msg.workspace!r} is not configured",
        _unseen(msg),
        final=False,
    )


def with_backend(
    row: permit_row.PermitRow, backend: str
) -> permit_row.PermitRow:
    """Returns the row with the backend server of its attempt."""
    return attrs.evolve(row, backend=backend)


def granted(
    row: permit_row.PermitRow,
    ask_id: int,
    workspace: str,
    grant_id: str,
    epoch: int,
) -> messages.PermitGranted:
    """Answers with a permit that the witness has acknowledged."""
    return messages.PermitGranted(
        ask_id,
        workspace,
        row.request_id,
        row.attempt_id,
        grant_id,
        epoch,
        row.hold,
        row.backend,
    )
