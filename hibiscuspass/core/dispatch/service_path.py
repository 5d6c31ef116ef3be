"""Paths of plain-service calls and the rules that match them."""

import re

from hibiscuspass.core.configuration import workspace as workspace_lib

# Encoded separators and dots let one resource have several spellings, one of
# which a non-repeatable rule might not match.
_AMBIGUOUS = re.compile(r"//|/\.{1,2}(/|$)|%2f|%2e|%5c|\\|;", re.IGNORECASE)


def is_unambiguous(path: str) -> bool:
    """Tells whether a path has a single spelling for its resource."""
    return path.startswith("/") and not _AMBIGUOUS.search(path)


def is_non_repeatable(
    workspace: workspace_lib.Workspace, service: str, method: str, path: str
) -> bool:
    """Tells whether a call must run at most once.

    Prefixes are compared without regard to case and to a trailing slash: a
    call that is marked needlessly only needs an idempotency key, while one
    that escapes its rule could run twice.

    Args:
      workspace: Workspace with the rules.
      service: Name of the plain service.
      method: HTTP method.
      path: Decoded path below the service's base address.
    """
    folded = path.casefold()
    return any(
        rule.service == service
        and rule.method in ("*", method.upper())
        and folded.startswith(rule.path_prefix.casefold().rstrip("/"))
        for rule in workspace.non_repeatable
    )
