"""Retry policies; the budget of retries is a fixed share of the requests."""

import datetime
import random

from gypsumhold.model import ids, policies, states

BUDGET_PER_REQUEST = 0.1
"""Retries that each new request adds to the budget."""

BUDGET_LIMIT = 20.0
"""Largest budget, in retries. Without a limit the budget saved up during idle
periods would allow a retry storm."""

INITIAL_BACKOFF = datetime.timedelta(milliseconds=20)
"""Upper bound of the first backoff; doubles with each attempt."""


class NoRetries(policies.RetryPolicy):
    """Baseline: never retries."""

    def count_call(self) -> None:
        """Ignores the request."""

    def plan(
        self,
        reason: states.Reason,
        attempt: ids.Attempt,
        remaining: datetime.timedelta,
        rng: random.Random,
    ) -> datetime.timedelta | None:
        """Returns None."""
        return None


class BudgetedRetries(policies.RetryPolicy):
    """Retries with exponential backoff and full jitter within a budget."""

    def __init__(self) -> None:
        self._budget = BUDGET_LIMIT

    def count_call(self) -> None:
        """Adds `BUDGET_PER_REQUEST` to the budget, up to its limit."""
        self._budget = min(BUDGET_LIMIT, self._budget + BUDGET_PER_REQUEST)

    def plan(
        self,
        reason: states.Reason,
        attempt: ids.Attempt,
        remaining: datetime.timedelta,
        rng: random.Random,
    ) -> datetime.timedelta | None:
        """Returns a random backoff, or None to give up.

        A request is given up if the budget is used up or if the backoff would
        reach the deadline.
        """
        if self._budget < 1:
            return None
        max_backoff = INITIAL_BACKOFF * int(2 ** (attempt - 1))
        backoff = max_backoff * rng.random()
        if backoff >= remaining:
            return None
        self._budget -= 1
        return backoff
