"""What the request path needs from the retry budget."""

import abc


class RetryPolicy(abc.ABC):
    """Limits the load that retries add."""

    @abc.abstractmethod
    def on_request(self) -> None:
        """Records a first attempt, which earns part of a retry."""

    @abc.abstractmethod
    def allow_retry(self) -> bool:
        """Takes one retry from the budget; False if none is left."""

    @abc.abstractmethod
    def delay_s(self, retry: int) -> float:
        """Returns the delay before the `retry`-th retry, from 1."""
