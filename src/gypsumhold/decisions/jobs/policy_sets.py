"""Selects the policies that schedulers and executors run with."""

from gypsumhold.decisions.jobs import (
    admission,
    estimates,
    ordering,
    probations,
    spreading,
    throttling,
    verdicts,
)
from gypsumhold.decisions.jobs.locality import wait_policies
from gypsumhold.model.jobs import policies


def build_scheduler_policies() -> policies.SchedulerPolicies:
    """Returns the policies of a scheduler."""
    learned = estimates.LearnedEstimates()
    return policies.SchedulerPolicies(
        learned,
        ordering.ByObjective(learned),
        probations.LeastToLose(spreading.InterferenceAware()),
        admission.AcceptAll(),
        verdicts.ByEvidence(),
        wait_policies.WeighWait(),
    )


def build_executor_policies() -> policies.ExecutorPolicies:
    """Returns the policies of an executor."""
    return policies.ExecutorPolicies(throttling.ThrottleByTailLatency())
