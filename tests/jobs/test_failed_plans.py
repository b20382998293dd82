"""Tests of a job for which making a plan has raised an exception once.

Pattern: the reason is gone with the moment, as of a worker that has changed,
and the job is as sound as before. The fleet is nearly empty.
"""

from gypsumhold.model.jobs import policies, progress, scheduler, specs
from tests.jobs import job_specs, large_world, wait_oracle

START_MS = 4000.0
"""Time until a holder places tasks."""

JUDGED_MS = 6000.0
JOB = specs.JobId("j")


class FailingOnce(policies.PlacementPolicy):
    """Raises an exception at the first look at a second step."""

    def __init__(self, policy: policies.PlacementPolicy) -> None:
        """Creates a policy that otherwise asks `policy`."""
        self._policy = policy
        self.has_failed = False

    def rank(
        self,
        step: progress.Step,
        candidate: policies.Candidate,
        *,
        is_suspect: bool,
        deferred: bool,
    ) -> policies.Rank | None:
        """Returns the rank of the other policy, once it has failed."""
        if step.number == 1 and not self.has_failed:
            self.has_failed = True
            raise ArithmeticError
        return self._policy.rank(
            step, candidate, is_suspect=is_suspect, deferred=deferred
        )


def fail_once(world: large_world.LargeWorld) -> list[FailingOnce]:
    """Lets the first plan of each entry for a second step fail."""
    failing = []
    for name in world.processors:
        state = world.nodes[name].state
        assert isinstance(state, scheduler.SchedulerState)
        policy = FailingOnce(state.policies.placement)
        state.policies.placement = policy
        failing.append(policy)
    return failing


def test_job_runs_after_a_failed_plan() -> None:
    """Guards against a step that never begins after one exception in a plan."""
    world = large_world.LargeWorld(1, 4)
    world.run(START_MS)
    failing = fail_once(world)
    world.submit("entry-0", job_specs.build_job(JOB, (2, 2)))
    world.run(wait_oracle.CALM_MS)
    assert any(policy.has_failed for policy in failing)
    world.judge(JUDGED_MS, lambda: False)
    assert world.waits.violations == {}
