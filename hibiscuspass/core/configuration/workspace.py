"""Configuration of a workspace."""

import attrs


@attrs.frozen
class NonRepeatableRule:
    """Marks calls of a plain service that must run at most once.

    Attributes:
      service: Name of the plain service.
      method: HTTP method in upper case, or `*`.
      path_prefix: Path below the service's base address, starting with `/`.
    """

    service: str
    method: str
    path_prefix: str


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
      template: Template that it was made from, or an empty string.
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
      reserve_per_failure_domain: Standing grant per failure domain, in budget
        units; 0 for thin budgets.
      enabled: Whether requests are accepted.
    """

    name: str
    template: str = ""
    priority: int = 5
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    non_repeatable: tuple[NonRepeatableRule, ...] = ()
    access_keys: tuple[AccessKey, ...] = ()
    max_concurrency: int = 64
    max_output_tokens: int = 4096
    first_token_deadline_s: float = 10.0
    grant_fraction: float = 0.5
    solo_grant_limit: int = 0
    reserve_per_failure_domain: int = 0
    enabled: bool = True
