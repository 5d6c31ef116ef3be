"""Interface of the retry policy for the request path."""

import abc


class RetryPolicy(abc.ABC):
    """Limits the additional load that retries cause."""

    @abc.abstractmethod
    def on_request(self) -> None:
        """Records a first attempt, which adds a fraction of a retry."""

    @abc.abstractmethod
    def allow_retry(self) -> bool:
        """Takes one retry from the budget.

        Returns:
          Whether the budget allowed it.
        """

    @abc.abstractmethod
    def delay_s(self, retry: int) -> float:
        """Returns the delay before a retry.

        Args:
          retry: Number of the retry of this request, from 1.
        """
