"""Retries of attempts, inside a budget that is a share of the traffic."""

import datetime
import random

from gypsumhold.model import ids, policies, states

BUDGET_SHARE = 0.1
"""Retries that each new request earns."""

BUDGET_LIMIT = 20.0
"""Retries that may be saved up, so that quiet times do not fund a storm."""

FIRST_PAUSE = datetime.timedelta(milliseconds=20)
"""Upper bound of the first pause; doubles with each attempt."""


class NoRetries(policies.RetryPolicy):
    """Baseline: never repeats."""

    def count_call(self) -> None:
        """Counts nothing."""

    def plan(
        self,
        reason: states.Reason,
        attempt: ids.Attempt,
        remaining: datetime.timedelta,
        source: random.Random,
    ) -> datetime.timedelta | None:
        """Gives up."""
        return None


class BudgetedRetries(policies.RetryPolicy):
    """Repeats with full jitter while the budget lasts."""

    def __init__(self) -> None:
        self._budget = BUDGET_LIMIT

    def count_call(self) -> None:
        """Earns a share of one retry."""
        self._budget = min(BUDGET_LIMIT, self._budget + BUDGET_SHARE)

    def plan(
        self,
        reason: states.Reason,
        attempt: ids.Attempt,
        remaining: datetime.timedelta,
        source: random.Random,
    ) -> datetime.timedelta | None:
        """Returns a random pause that ends before the deadline."""
        if self._budget < 1:
            return None
        longest = FIRST_PAUSE * int(2 ** (attempt - 1))
        pause = longest * source.random()
        if pause >= remaining:
            return None
        self._budget -= 1
        return pause
