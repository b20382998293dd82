"""Tests that previews tell what a plan does, and change nothing.

A preview that decides by code of its own would mislead the operator as soon as
a policy changes; one that reserves capacity would change what it describes.
"""

import copy
import dataclasses
import random

import msgspec
import pytest

from gypsumhold.decisions.jobs import capacity, previews, repetitions
from gypsumhold.decisions.jobs.locality import wait_policies
from gypsumhold.model.jobs import (
    evacuations,
    policies,
    progress,
    runs,
    scheduler,
    specs,
)
from gypsumhold.model.jobs import previews as preview_model
from tests.jobs import job_specs, nodes, rack_world, test_regressions
from tests.jobs import world as worlds

StepVerdict = preview_model.StepVerdict
Obstacle = preview_model.WorkerObstacle
SETTLED_MS = 3000


def build_holder(agents: int = 3) -> tuple[worlds.World, nodes.Node]:
    world = worlds.World(1, agents=agents)
    world.run(SETTLED_MS)
    return world, test_regressions.find_holder(world)


def preview(
    world: worlds.World, holder: nodes.Node, spec: specs.JobSpec
) -> preview_model.JobPreview:
    found = previews.preview_job(holder.state, spec, world.read_clock())
    assert found is not None
    return found


def test_a_job_goes_where_the_preview_said() -> None:
    """Guards against a preview that decides unlike a plan."""
    world, holder = build_holder()
    spec = job_specs.build_job("j", (5, 2))
    told = preview(world, holder, spec)
    assert told.retry_delay is None
    first, second = told.steps
    assert first.verdict is StepVerdict.PLACED
    assert second.verdict is StepVerdict.WAITS_FOR_STEPS
    world.submit("entry-0", spec)
    world.run(200)
    holder_state = holder.state.holder_state
    placed = {
        instance: sum(ref.job_id == "j" for ref in view.placed)
        for instance, view in holder_state.agents.items()
    }
    expected = {choice.instance: choice.tasks for choice in first.chosen}
    assert {name: count for name, count in placed.items() if count} == expected


def test_a_colocated_gang_goes_to_the_rack_that_the_preview_said() -> None:
    """Guards against a preview that chooses for a gang unlike a plan."""
    world = rack_world.RackWorld(1, 12, wait_policies.WeighWait())
    world.run(SETTLED_MS)
    holder = test_regressions.find_holder(world)
    gang = specs.StepSpec(
        3, 1000, 100, estimate_ms=9000, gang=True, colocated=True
    )
    spec = job_specs.build_job_of("gang", (gang,))
    (step,) = preview(world, holder, spec).steps
    assert step.verdict is StepVerdict.PLACED
    assert len({choice.rack for choice in step.chosen}) == 1
    world.submit("entry-0", spec)
    world.run(200)
    placed = {
        instance
        for instance, view in holder.state.holder_state.agents.items()
        if any(ref.job_id == "gang" for ref in view.placed)
    }
    assert placed == {choice.instance for choice in step.chosen}


def test_a_holder_that_has_not_read_the_evacuations_says_so() -> None:
    """Guards against blaming sound agents for what the holder lacks."""
    world, holder = build_holder()
    holder_state = holder.state.holder_state
    holder_state.evacuation_knowledge = evacuations.Knowledge.UNREAD
    (step,) = preview(world, holder, job_specs.build_job("j", (1,))).steps
    assert step.verdict is StepVerdict.WAITS_FOR_WORKER
    assert [reason for reason, _ in step.excluded] == [
        Obstacle.EVACUATIONS_UNREAD
    ]


def test_a_preview_reserves_nothing() -> None:
    """Guards against a preview that changes what it describes."""
    world, holder = build_holder()
    spec = job_specs.build_job("j", (5,))
    first = preview(world, holder, spec)
    holder_state: scheduler.HolderState = holder.state.holder_state
    kept = {
        name: copy.deepcopy(view.candidate)
        for name, view in holder_state.agents.items()
    }
    assert preview(world, holder, spec) == first
    for name, view in holder_state.agents.items():
        assert view.candidate == kept[name]
    assert not holder_state.jobs
    assert not holder_state.dirty


def test_a_follower_has_no_preview() -> None:
    """Guards against an answer of an entry that places nothing."""
    world, holder = build_holder()
    spec = job_specs.build_job("j", (1,))
    followers = [
        node
        for node in world.nodes.values()
        if isinstance(node.state, scheduler.SchedulerState)
        and node is not holder
    ]
    assert followers
    for node in followers:
        now = world.read_clock()
        assert previews.preview_job(node.state, spec, now) is None


@pytest.mark.parametrize(
    "step, obstacle",
    [
        (specs.StepSpec(1, 10**6, 100), Obstacle.CPU),
        (specs.StepSpec(1, 100, 10**9), Obstacle.MEMORY),
        (specs.StepSpec(1, 100, 100, accelerators=99), Obstacle.ACCELERATORS),
        (specs.StepSpec(1, 100, 100, label="none"), Obstacle.LABEL),
    ],
)
def test_an_impossible_step_names_what_excludes_the_workers(
    step: specs.StepSpec, obstacle: Obstacle
) -> None:
    world, holder = build_holder()
    told = preview(world, holder, job_specs.build_job_of("j", (step,)))
    (step_preview,) = told.steps
    assert step_preview.verdict is StepVerdict.WAITS_FOR_WORKER
    assert [reason for reason, _ in step_preview.excluded] == [obstacle]


def test_a_draining_and_a_silent_worker_are_named() -> None:
    """Guards against a worker that is left out without a reason."""
    world, holder = build_holder(agents=4)
    views = list(holder.state.holder_state.agents.values())
    worker = views[0].report.worker
    assert worker is not None
    draining = msgspec.structs.replace(worker, state=runs.WorkerState.DRAINING)
    views[0].report = msgspec.structs.replace(views[0].report, worker=draining)
    views[1].report = msgspec.structs.replace(views[1].report, answering=False)
    told = preview(world, holder, job_specs.build_job("j", (1,)))
    assert dict(told.steps[0].excluded) == {
        Obstacle.DRAINING: (views[0].instance,),
        Obstacle.SILENT: (views[1].instance,),
    }


@pytest.mark.parametrize("seed", range(40))
def test_a_misfit_has_a_reason_and_no_other_candidate_has(seed: int) -> None:
    """Guards against reasons that differ from the conditions of a plan."""
    source = random.Random(seed)
    world, holder = build_holder(agents=1)
    now = world.read_clock()
    (known,) = capacity.build_candidates(
        holder.state, holder.state.holder_state, now
    ).values()
    spec = specs.StepSpec(
        1,
        source.choice((0, 500, 2000)),
        source.choice((100, 5000)),
        accelerators=source.choice((0, 1)),
        label=source.choice(("", "a", "none")),
        fills=source.random() < 0.3,
        max_per_worker=source.choice((0, 1)),
    )
    job = progress.Job(job_specs.build_job_of("j", (spec,)), now)
    repetitions.add_repetition(job)
    candidate: policies.Candidate = dataclasses.replace(
        known,
        cpu_millis=source.choice((-100, 400, 3000)),
        memory_mb=source.choice((50, 8000)),
        accelerators=source.choice((0, 2)),
        steps={(specs.JobId("j"), 0, 0): source.choice((0, 1))},
        on_probation=source.random() < 0.2,
        reserved=source.random() < 0.2,
    )
    step = job.steps[0]
    fits = bool(capacity.list_fitting([candidate], job, step))
    assert fits is (capacity.find_misfit(candidate, job, step) is None)
