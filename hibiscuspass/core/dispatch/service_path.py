"""Checks of plain-service paths and of the rules that match them."""

import re

from hibiscuspass.core.configuration import workspace as workspace_lib

# Encoded separators and dot segments allow several spellings of one resource,
# one of which a non-repeatable rule might not match.
_AMBIGUOUS = re.compile(r"//|/\.{1,2}(/|$)|%2f|%2e|%5c|\\|;", re.IGNORECASE)


def is_unambiguous(path: str) -> bool:
    """Returns whether a path has no other spelling for the same resource."""
    return path.startswith("/") and not _AMBIGUOUS.search(path)


def is_non_repeatable(
    workspace: workspace_lib.Workspace, service: str, method: str, path: str
) -> bool:
    """Returns whether a call must run at most once.

    Prefixes are compared without regard to case or a trailing slash: a call
    that matches needlessly only requires an idempotency key, while a call that
    a rule misses could run twice.

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
