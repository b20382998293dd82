"""Policies that give up tasks under which workers have crashed."""

from collections.abc import Collection

from gypsumhold.model.jobs import policies, runs

Evidence = runs.CrashEvidence

MIN_CRASHES = 3
"""Crashes under a task without which it is never given up. Two may both have
another cause."""

MIN_INSTANCES = 3
"""Instances on which workers have to crash; one alone may be faulty."""

MIN_SURE_INSTANCES = 2
"""Instances of these on which no other cause of the crash is known, if the task
was alone at one of the crashes."""

MAX_CRASHES = 5
"""Crashes after which a task is given up whatever else was lost with them."""


class CountCrashes(policies.CrashPolicy):
    """Baseline: gives a task up after a number of crashes."""

    def __init__(self, limit: int = MIN_CRASHES) -> None:
        """Creates a policy that gives up after `limit` crashes."""
        self._limit = limit

    def should_give_up(self, crashes: Collection[runs.Crash]) -> bool:
        """Tells whether as many workers as the limit have crashed."""
        return len(_select_begun(crashes)) >= self._limit


class ByEvidence(policies.CrashPolicy):
    """Gives a task up as soon as its crashes leave no other cause.

    Only crashes of workers on which the task ran are evidence against it. The
    others still count towards the limit of all crashes, since the confirmation
    of a start may be lost together with the worker.
    """

    def should_give_up(self, crashes: Collection[runs.Crash]) -> bool:
        """Tells whether the evidence against a task is sufficient."""
        begun = _select_begun(crashes)
        if len(begun) < MIN_CRASHES:
            return False
        if len(crashes) >= MAX_CRASHES:
            return True
        if _count_instances(begun) < MIN_INSTANCES:
            return False
        sure = [
            crash for crash in begun if crash.evidence is not Evidence.UNSURE
        ]
        was_alone = any(crash.evidence is Evidence.ALONE for crash in begun)
        needed = MIN_SURE_INSTANCES if was_alone else MIN_INSTANCES
        return _count_instances(sure) >= needed


def _select_begun(crashes: Collection[runs.Crash]) -> list[runs.Crash]:
    return [crash for crash in crashes if crash.began]


def _count_instances(crashes: Collection[runs.Crash]) -> int:
    return len({crash.instance for crash in crashes})
