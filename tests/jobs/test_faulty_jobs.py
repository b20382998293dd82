"""Tests that a faulty job or message does not stop the others."""

import dataclasses
import math

import msgspec
import pytest

from gypsumhold.decisions.jobs import validation
from gypsumhold.model.jobs import messages, policies, progress, specs
from tests.jobs import job_specs, large_world
from tests.jobs import world as worlds

HUGE = 10**18
JOB = job_specs.build_job(specs.JobId("j"), (2, 2))
STEP = JOB.steps[0]


@pytest.mark.parametrize(
    "changes",
    [
        {"count": 0},
        {"count": -1},
        {"count": HUGE},
        {"estimate_ms": HUGE},
        {"estimate_ms": -1},
        {"cpu_millis": -1000},
        {"memory_mb": -1},
        {"accelerators": HUGE},
        {"max_per_worker": -1},
        {"target_latency_ms": 10**30},
        {"after": (0,)},
        {"after": (-1,)},
    ],
    ids=str,
)
def test_faulty_step_is_refused(changes: dict[str, object]) -> None:
    """Guards against a stored job with which no holder can make a plan."""
    step = msgspec.structs.replace(STEP, **changes)
    spec = msgspec.structs.replace(JOB, steps=(step,))
    assert validation.check_job(spec) is not None


@pytest.mark.parametrize(
    "changes",
    [
        {"steps": ()},
        {"repetitions": HUGE},
        {"repetitions": -1},
        {"repetitions": validation.MAX_TASKS},
        {"repetitions": 2, "first_run_ms": HUGE},
        {"repetitions": 2, "interval_ms": -HUGE},
        {"payload": "x" * 4001},
        {"steps": (STEP,) * 1000},
        {"steps": (msgspec.structs.replace(STEP, image="x" * 66_000),)},
    ],
    ids=str,
)
def test_faulty_job_is_refused(changes: dict[str, object]) -> None:
    """Guards against a job that fills the memory of every holder."""
    spec = msgspec.structs.replace(JOB, **changes)
    assert validation.check_job(spec) is not None


def test_ordinary_job_is_accepted() -> None:
    """Guards against limits that refuse jobs of today."""
    assert validation.check_job(JOB) is None


@dataclasses.dataclass
class FailingPlacement(policies.PlacementPolicy):
    """Raises an error for the tasks of one job, the first so many times."""

    inner: policies.PlacementPolicy
    failures_left: float = math.inf

    def rank(
        self,
        step: progress.Step,
        candidate: policies.Candidate,
        *,
        is_suspect: bool,
        deferred: bool,
    ) -> policies.Rank | None:
        if step.spec.image == "faulty" and self.failures_left:
            self.failures_left -= 1
            raise ArithmeticError
        return self.inner.rank(
            step, candidate, is_suspect=is_suspect, deferred=deferred
        )


def submit_beside(faulty: specs.JobSpec, world: worlds.World) -> None:
    """Submits a faulty job and an ordinary one; the second must complete."""
    world.submit("entry-0", faulty)
    world.run(500)
    world.submit("entry-0", JOB)
    world.run(15_000)
    record = world.store.progress[JOB.job_id]
    assert record.state is messages.JobState.COMPLETED
    assert any(
        line.decision == "job-set-aside" and line.subject == faulty.job_id
        for _, _, line in world.log_lines
    )


def test_job_that_cannot_be_estimated_is_set_aside() -> None:
    """Guards against one stored job that ends the placement of all others."""
    world = worlds.World(1)
    world.run(3000)
    step = msgspec.structs.replace(STEP, estimate_ms=HUGE, fills=True)
    faulty = msgspec.structs.replace(
        JOB, job_id=specs.JobId("faulty"), steps=(step,)
    )
    submit_beside(faulty, world)


def test_job_that_cannot_be_placed_is_set_aside() -> None:
    """Guards against an exception in one job that leaves a plan half done."""
    world = worlds.World(1)
    fail_placements(world)
    world.run(3000)
    step = msgspec.structs.replace(STEP, image=specs.Image("faulty"))
    faulty = msgspec.structs.replace(
        JOB, job_id=specs.JobId("faulty"), steps=(step,)
    )
    submit_beside(faulty, world)


def fail_placements(world: worlds.World, failures: float = math.inf) -> None:
    """Lets so many placements of faulty tasks fail in each entry."""
    for node in world.nodes.values():
        if node.name.startswith("entry"):
            placement = node.state.policies.placement
            node.state.policies.placement = FailingPlacement(
                placement, failures
            )


def build_faulty_chain(*, fills: bool = False) -> specs.JobSpec:
    """Returns a job of two steps, for the second of which plans fail."""
    first = specs.StepSpec(1, 1000, 100, estimate_ms=1000)
    second = specs.StepSpec(
        2,
        1000,
        100,
        estimate_ms=10_000,
        after=(0,),
        fills=fills,
        image=specs.Image("faulty"),
    )
    return job_specs.build_job_of("faulty", (first, second))


def list_inputs(
    world: worlds.World, decision: str, subject: str
) -> list[dict[str, str]]:
    return [
        dict(line.inputs)
        for _, _, line in world.log_lines
        if (line.decision, line.subject) == (decision, subject)
    ]


@pytest.mark.parametrize("fills", [False, True])
@pytest.mark.parametrize("failures", [1, 3])
def test_job_runs_in_time_after_plans_that_failed(
    failures: int, *, fills: bool
) -> None:
    """Guards against one exception that leaves a job without a run for good.

    What a plan raises may be about one moment, as of a worker that changes.
    """
    world = large_world.LargeWorld(1, 4)
    fail_placements(world, failures)
    world.run(4000)
    world.submit("entry-0", build_faulty_chain(fills=fills))
    world.judge(8000, lambda: False)
    assert list_inputs(world, "job-set-aside", "faulty")
    assert world.waits.violations == {}
    assert any(run.task.step == 1 for run in world.oracle.started)


def test_job_for_which_plans_fail_is_looked_at_ever_less_often() -> None:
    """Guards against a log that fills up, and a wait that no line tells of."""
    world = large_world.LargeWorld(1, 4)
    fail_placements(world)
    world.run(4000)
    world.submit("entry-0", build_faulty_chain())
    world.run(30_000)
    lines = list_inputs(world, "job-set-aside", "faulty")
    assert [int(line["again_ms"]) for line in lines] == [250, 500, 1000, 2000]
    overdue = [
        dict(line.inputs)
        for _, _, line in world.log_lines
        if (line.decision, line.outcome) == ("wait", "overdue")
    ]
    assert [line["stage"] for line in overdue] == ["set aside"]


def test_row_that_cannot_be_added_is_left_out() -> None:
    """Guards against one stored row that keeps a holder from reading the rest.

    The holder is lost after the row was stored, so the next one loads it.
    """
    world = worlds.World(1)
    world.run(3000)
    world.submit("entry-0", JOB)
    world.run(100)
    faulty = msgspec.structs.replace(
        JOB,
        job_id=specs.JobId("faulty"),
        repetitions=2,
        submitted_ms=-(10**30),
    )
    world.store.write_job(faulty)
    world.kill("entry-0", 60_000)
    world.run(20_000)
    record = world.store.progress[JOB.job_id]
    assert record.state is messages.JobState.COMPLETED
    assert any(
        line.decision == "job-left-out" for _, _, line in world.log_lines
    )
