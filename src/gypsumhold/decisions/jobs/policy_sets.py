"""Sets of policies."""

from gypsumhold.decisions.jobs import (
    admission,
    interference_placement,
    ordering,
    throttling,
)
from gypsumhold.model.jobs import policies


def build_scheduler_policies() -> policies.SchedulerPolicies:
    """Returns the policies of a scheduler."""
    return policies.SchedulerPolicies(
        ordering.ByObjective(),
        interference_placement.InterferenceAware(),
        admission.AcceptAll(),
    )


def build_executor_policies() -> policies.ExecutorPolicies:
    """Returns the policies of an executor."""
    return policies.ExecutorPolicies(throttling.ThrottleByTailLatency())
