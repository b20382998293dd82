"""Tests of a job for which making a plan has raised an exception once.

Pattern: the reason is gone with the moment, as of a worker that has changed,
and the job is as sound as before. The fleet is nearly empty.
"""

import msgspec

from gypsumhold.model.jobs import specs
from tests.jobs import (
    job_specs,
    large_world,
    test_faulty_jobs,
    wait_oracle,
)

START_MS = 4000.0
"""Time until a holder places tasks."""

JUDGED_MS = 6000.0
JOB = job_specs.build_job("j", (2, 2))


def test_job_runs_after_a_failed_plan() -> None:
    """Guards against a step that never begins after one exception in a plan."""
    world = large_world.LargeWorld(1, 4)
    test_faulty_jobs.fail_placements(world, 1)
    world.run(START_MS)
    first, second = JOB.steps
    second = msgspec.structs.replace(second, image=specs.Image("faulty"))
    world.submit("entry-0", job_specs.build_job_of("j", (first, second)))
    world.run(wait_oracle.CALM_MS)
    assert any(
        line.decision == "job-set-aside" for _, _, line in world.log_lines
    )
    world.judge(JUDGED_MS, lambda: False)
    assert world.waits.violations == {}
