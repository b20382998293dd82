"""Selects the policies that schedulers and executors run with."""

import enum
from collections.abc import Mapping

from gypsumhold.decisions.jobs import (
    estimates,
    ordering,
    probations,
    spreading,
    throttling,
    verdicts,
)
from gypsumhold.decisions.jobs.locality import wait_policies
from gypsumhold.decisions.jobs.overload import admission
from gypsumhold.model.jobs import policies


class AdmissionKind(enum.Enum):
    """Which admission policy entries run with."""

    ACCEPT_ALL = "accept-all"
    REFUSE_USELESS = "refuse-useless"


ADMISSION_POLICIES: Mapping[AdmissionKind, type[policies.AdmissionPolicy]] = {
    AdmissionKind.ACCEPT_ALL: admission.AcceptAll,
    AdmissionKind.REFUSE_USELESS: admission.RefuseUseless,
}


def build_scheduler_policies(
    admission_kind: AdmissionKind = AdmissionKind.ACCEPT_ALL,
) -> policies.SchedulerPolicies:
    """Returns the policies of a scheduler."""
    learned = estimates.LearnedEstimates()
    return policies.SchedulerPolicies(
        learned,
        ordering.ByObjective(learned),
        probations.LeastToLose(spreading.InterferenceAware()),
        ADMISSION_POLICIES[admission_kind](),
        verdicts.ByEvidence(),
        wait_policies.WeighWait(),
    )


def build_executor_policies() -> policies.ExecutorPolicies:
    """Returns the policies of an executor."""
    return policies.ExecutorPolicies(throttling.ThrottleByTailLatency())
