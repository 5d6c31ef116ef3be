"""Builds the answers of a holder to asks for permits."""

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import run_state
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import permit_row

_Reason = reason_lib.Reason
_Run = run_state.RunState


def _run_state_before_lookup(msg: messages.Ask) -> run_state.RunState:
    # A keyed request may have run in an earlier attempt, because its row has
    # not been looked up yet.
    return _Run.UNKNOWN if msg.keyed else _Run.NO


def ask_attached(
    msg: messages.Ask, row: permit_row.PermitRow
) -> messages.AskAttached:
    """Returns the answer to a retry whose request already has a permit."""
    return messages.AskAttached(
        msg.ask_id,
        msg.attempt_id,
        msg.request_id,
        row.backend,
        settled=row.state is not permit_row.RowState.OPEN,
    )


def budget_exhausted(msg: messages.Ask, *, final: bool) -> messages.AskRefused:
    """Returns the refusal if the budget does not cover the worst-case cost.

    For a keyed request only the holder of the primary grant, or a router that
    found no primary grant, gives this answer. Its row was thus looked up, and
    no earlier attempt has run.
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


def budget_unavailable(msg: messages.Ask) -> messages.AskRefused:
    """Returns the refusal if neither a grant nor the ledger is usable."""
    if msg.keyed:
        return primary_unreachable(msg)
    return messages.AskRefused(
        msg.ask_id,
        msg.attempt_id,
        _Reason.BUDGET_UNAVAILABLE,
        f"no grant of workspace {msg.workspace!r} can be used now",
        _Run.NO,
        final=False,
    )


def primary_unreachable(msg: messages.Ask) -> messages.AskRefused:
    """Returns the refusal of a keyed ask if no primary grant is reachable."""
    return messages.AskRefused(
        msg.ask_id,
        msg.attempt_id,
        _Reason.PRIMARY_UNREACHABLE,
        f"the primary grant of workspace {msg.workspace!r} can't be reached",
        _Run.UNKNOWN,
        final=False,
    )


def primary_redirect(
    msg: messages.Ask, holder: incarnation.Incarnation
) -> messages.AskRefused:
    """Returns the refusal that names the holder of the primary grant."""
    return messages.AskRefused(
        msg.ask_id,
        msg.attempt_id,
        _Reason.PRIMARY_UNREACHABLE,
        f"the primary grant of workspace {msg.workspace!r} is held by {holder}",
        _Run.UNKNOWN,
        final=False,
        redirect=holder,
    )


def idempotency_key_reused(msg: messages.Ask, hold: int) -> messages.AskRefused:
    """Returns the refusal of a retry that needs more than its permit holds."""
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
    """Returns the refusal of a stopping router; others can be asked."""
    return messages.AskRefused(
        msg.ask_id,
        msg.attempt_id,
        _Reason.SHUTTING_DOWN,
        "the router is stopping",
        _run_state_before_lookup(msg),
        final=False,
    )


def unknown_workspace(msg: messages.Ask) -> messages.AskRefused:
    """Returns the refusal for a workspace without configuration."""
    return messages.AskRefused(
        msg.ask_id,
        msg.attempt_id,
        _Reason.UNKNOWN_WORKSPACE,
        f"workspace {msg.workspace!r} is not configured",
        _run_state_before_lookup(msg),
        final=False,
    )


def with_backend(
    row: permit_row.PermitRow, backend: str
) -> permit_row.PermitRow:
    """Returns the row with the backend server of its attempt."""
    return attrs.evolve(row, backend=backend)


def permit_granted(
    row: permit_row.PermitRow,
    ask_id: int,
    workspace: str,
    grant_id: str,
    epoch: int,
) -> messages.PermitGranted:
    """Returns the answer with a permit that the witness has acknowledged."""
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
