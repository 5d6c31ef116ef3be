"""Configuration of a workspace."""

import attrs

from hibiscuspass.settings import checks

# JSON parsers that use doubles represent integers exactly only up to 2**53.
MAX_AMOUNT = 2**53

_METHODS = ("*", "DELETE", "GET", "PATCH", "POST", "PUT")


@attrs.frozen
class NonRepeatableRule:
    """Marks calls of a plain service that must run at most once.

    Attributes:
      service: Name of the plain service.
      method: HTTP method in upper case, or `*`.
      path_prefix: Path below the service's base address, starting with `/`.
    """

    service: str = attrs.field(validator=checks.is_name())
    method: str = attrs.field(validator=checks.one_of(*_METHODS))
    path_prefix: str = attrs.field(validator=checks.starts_with("/"))


@attrs.frozen
class AccessKey:
    """A caller's key, stored as a salted hash.

    Attributes:
      key_id: Public part of the key.
      salt: Hex-encoded salt.
      digest: Hex-encoded digest of salt and secret part.
    """

    key_id: str
    salt: str
    digest: str


@attrs.frozen
class Workspace:
    """Everything an operator sets for one workspace.

    Attributes:
      name: Unique name.
      template: Template that it was created from, or an empty string.
      priority: Larger values are served first, 0 to 9.
      models: Allowed models.
      adapters: Allowed adapters.
      services: Allowed plain services.
      non_repeatable: Calls that must run at most once.
      access_keys: Keys of callers.
      max_concurrency: Concurrent requests per router.
      max_output_tokens: Largest output limit of one request.
      first_token_deadline_s: Time to the first token that callers accept.
      grant_fraction: Share of the free budget that one router draws at once.
      solo_grant_limit: Largest grant without witness, in budget units.
      reserve_per_failure_domain: Grant kept as a reserve in each failure
        domain, in budget units; 0 for small budgets.
      enabled: Whether requests are accepted.
    """

    name: str = attrs.field(validator=checks.is_name())
    template: str = ""
    priority: int = attrs.field(default=5, validator=checks.in_range(0, 9))
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    non_repeatable: tuple[NonRepeatableRule, ...] = ()
    access_keys: tuple[AccessKey, ...] = ()
    max_concurrency: int = attrs.field(
        default=64, validator=checks.in_range(1, 1_000_000)
    )
    max_output_tokens: int = attrs.field(
        default=4096, validator=checks.in_range(1, 10_000_000)
    )
    first_token_deadline_s: float = attrs.field(
        default=10.0, validator=checks.in_range(0.01, 3600)
    )
    grant_fraction: float = attrs.field(
        default=0.5, validator=checks.in_range(0, 1)
    )
    solo_grant_limit: int = attrs.field(
        default=0, validator=checks.in_range(0, MAX_AMOUNT)
    )
    reserve_per_failure_domain: int = attrs.field(
        default=0, validator=checks.in_range(0, MAX_AMOUNT)
    )
    enabled: bool = True
