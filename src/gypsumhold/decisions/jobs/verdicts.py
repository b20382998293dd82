"""Policies that give up tasks under which workers have crashed."""

from collections.abc import Collection

from gypsumhold.model.jobs import policies, runs

Evidence = runs.CrashEvidence

MIN_INSTANCES = 2
"""Instances on which workers have to crash; one alone may be faulty."""

MAX_SURE_CRASHES = 3
"""Instances after whose crashes a task is given up although others had just
started beside it each time."""

MAX_CRASHES = 4
"""Crashes after which a task is given up whatever else was lost with them."""


class CountCrashes(policies.CrashPolicy):
    """Baseline: gives a task up after a number of crashes."""

    def __init__(self, limit: int = MAX_SURE_CRASHES) -> None:
        """Creates a policy that gives up after `limit` crashes."""
        self._limit = limit

    def should_give_up(
        self, crashes: Collection[runs.Crash], latest: runs.Crash
    ) -> bool:
        """Tells whether as many workers as the limit have crashed."""
        return len(crashes) >= self._limit


class ByEvidence(policies.CrashPolicy):
    """Gives a task up as soon as its crashes leave no other cause."""

    def should_give_up(
        self, crashes: Collection[runs.Crash], latest: runs.Crash
    ) -> bool:
        """Tells whether the evidence against a task is sufficient."""
        if len(crashes) >= MAX_CRASHES:
            return True
        sure = {
            crash.instance
            for crash in crashes
            if crash.evidence is not Evidence.UNSURE
        }
        if len(sure) >= MAX_SURE_CRASHES:
            return True
        instances = {crash.instance for crash in crashes}
        is_alone = latest.evidence is Evidence.ALONE
        return is_alone and len(instances) >= MIN_INSTANCES
