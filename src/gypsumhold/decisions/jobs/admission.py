"""Policies that accept or refuse submissions."""

import datetime
from collections.abc import Sequence

from gypsumhold.model.jobs import policies, progress, specs


class AcceptAll(policies.AdmissionPolicy):
    """Baseline: accepts every job."""

    def choose_retry_delay(
        self, spec: specs.JobSpec, jobs: Sequence[progress.Job]
    ) -> datetime.timedelta | None:
        """Returns None, which accepts the job."""
        return None
