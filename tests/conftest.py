"""Hypothesis profiles; HYPOTHESIS_PROFILE chooses one."""

import os

import hypothesis

# CI has to give the same verdict every run, so its search is derandomised and
# has no deadline, which a busy machine could miss.
hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=True
)
hypothesis.settings.register_profile(
    "long", max_examples=5000, deadline=None, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
