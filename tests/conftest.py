"""Hypothesis profiles: `ci` gives the same verdict every run."""

import os

import hypothesis

# The explain phase traces every line, which makes long runs of the reducer
# many times slower.
PHASES = (
    hypothesis.Phase.explicit,
    hypothesis.Phase.generate,
    hypothesis.Phase.shrink,
)

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    print_blob=True,
    max_examples=80,
    database=None,
    phases=PHASES,
    stateful_step_count=40,
    report_multiple_bugs=False,
    suppress_health_check=tuple(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile(
    "long",
    deadline=None,
    print_blob=True,
    max_examples=int(os.environ.get("FUZZ_EXAMPLES", "3000")),
    database=None,
    phases=PHASES,
    stateful_step_count=60,
    report_multiple_bugs=False,
    suppress_health_check=tuple(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
