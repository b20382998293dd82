"""Tests that a faulty job or message does not stop the others."""

import dataclasses

import msgspec
import pytest

from gypsumhold.decisions.jobs import validation
from gypsumhold.model.jobs import messages, policies, progress, specs
from tests.jobs import job_specs
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
    """Raises an error for the tasks of one job."""

    inner: policies.PlacementPolicy

    def rank(
        self,
        step: progress.Step,
        candidate: policies.Candidate,
        *,
        is_suspect: bool,
        deferred: bool,
    ) -> policies.Rank | None:
        if step.spec.image == "faulty":
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
    for node in world.nodes.values():
        if node.name.startswith("entry"):
            placement = node.state.policies.placement
            node.state.policies.placement = FailingPlacement(placement)
    world.run(3000)
    step = msgspec.structs.replace(STEP, image=specs.Image("faulty"))
    faulty = msgspec.structs.replace(
        JOB, job_id=specs.JobId("faulty"), steps=(step,)
    )
    submit_beside(faulty, world)


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
