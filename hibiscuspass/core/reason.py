"""Reasons for refusals, shared by all processes and shown to callers."""

import enum


class Reason(enum.Enum):
    """Machine-readable refusal codes; the value is the wire form."""

    # Invalid input; the request was not run and costs nothing.
    INVALID_REQUEST = "invalid_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TIMEOUT = "body_timeout"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_MODEL = "unknown_model"
    MODEL_NOT_ALLOWED = "model_not_allowed"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"

    # Budgets.
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_UNAVAILABLE = "budget_unavailable"
    PRIMARY_UNREACHABLE = "primary_unreachable"

    # Deduplication of keyed requests.
    IN_PROGRESS = "in_progress"
    ALREADY_COMPLETED = "already_completed"
    CLAIM_UNCERTAIN = "claim_uncertain"

    # Capacity.
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    CONCURRENCY_LIMIT = "concurrency_limit"
    NO_BACKEND = "no_backend"
    SHUTTING_DOWN = "shutting_down"
    NOT_READY = "not_ready"
    # Requests with a part of this prompt make engines crash.
    PROMPT_QUARANTINED = "prompt_quarantined"

    # Backend servers.
    BACKEND_REFUSED = "backend_refused"
    BACKEND_UNREACHABLE = "backend_unreachable"
    BACKEND_LOST = "backend_lost"
    BACKEND_TIMEOUT = "backend_timeout"

    # External systems and peers.
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timeout"
    RATE_LIMITED = "rate_limited"
    STALE = "stale"
