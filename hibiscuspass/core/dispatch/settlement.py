"""Final cost of a completion, used to settle its permit."""

from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.dispatch import completion
from hibiscuspass.core.dispatch import completion_progress
from hibiscuspass.core.dispatch import cost


def final_cost(
    call: completion.CompletionCall,
    progress: completion_progress.CompletionProgress,
    hold: int,
) -> tuple[int, permit_lib.CostKind]:
    """Returns the cost and its kind, also for an interrupted or unsent run.

    Without reported usage the prompt is charged at its upper bound, because a
    backend that received the request may have processed all of it.
    """
    if not progress.maybe_received:
        return 0, permit_lib.CostKind.COUNTED
    if progress.usage is not None:
        return (
            cost.reported_cost(call.model, progress.usage, hold),
            permit_lib.CostKind.REPORTED,
        )
    counted = cost.token_cost(
        call.model, call.prompt_tokens, progress.output_tokens
    )
    return min(counted, hold), permit_lib.CostKind.COUNTED
