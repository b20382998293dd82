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


class LocalityKind(enum.Enum):
    """Which locality policy a holder runs with."""

    WEIGH_WAIT = "weigh-wait"
    TAKE_ANYWHERE = "take-anywhere"


LOCALITY_POLICIES: Mapping[LocalityKind, type[policies.LocalityPolicy]] = {
    LocalityKind.WEIGH_WAIT: wait_policies.WeighWait,
    LocalityKind.TAKE_ANYWHERE: wait_policies.TakeAnywhere,
}

ADMISSION_POLICIES: Mapping[AdmissionKind, type[policies.AdmissionPolicy]] = {
    AdmissionKind.ACCEPT_ALL: admission.AcceptAll,
    AdmissionKind.REFUSE_USELESS: admission.RefuseUseless,
}


def build_scheduler_policies(
    admission_kind: AdmissionKind = AdmissionKind.ACCEPT_ALL,
    locality_kind: LocalityKind = LocalityKind.WEIGH_WAIT,
) -> policies.SchedulerPolicies:
    """Returns the policies of a scheduler."""
    learned = estimates.LearnedEstimates()
    return policies.SchedulerPolicies(
        learned,
        ordering.ByObjective(learned),
        probations.LeastToLose(spreading.InterferenceAware()),
        ADMISSION_POLICIES[admission_kind](),
        verdicts.ByEvidence(),
        LOCALITY_POLICIES[locality_kind](),
    )


def build_executor_policies() -> policies.ExecutorPolicies:
    """Returns the policies of an executor."""
    return policies.ExecutorPolicies(throttling.ThrottleByTailLatency())
