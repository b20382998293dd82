"""Tests of a loss of power at each moment of a job of two steps.

Pattern: all processes and workers lose power together, and the workers come
back under new names. What the former holder knew is stored in part only, and
what the workers had ended is lost where nobody had acknowledged it.
"""

import dataclasses
import datetime
from collections.abc import Iterator

import msgspec
import pytest

from gypsumhold.model.jobs import messages, runs, specs
from tests.jobs import (
    job_specs,
    large_world,
    wait_oracle,
    wait_rules,
    worker_speeds,
)

AGENTS = 4
ENTRIES = 3

START_MS = 4000.0
"""Time until a holder places tasks."""

JOB = specs.JobId("judged")
TASKS = 3
TASK_MS = 300

LAST_MOMENT_MS = 1400.0
"""Time from the submission until the second step has ended, at the latest."""

MOMENT_STEP_MS = 50.0
DOWN_MS = (300.0, 900.0, 1500.0)
"""Times after which machines are back; one for each in turn."""

SERVING = specs.Image("serving")
BEST_EFFORT = specs.Image("batch")
CONDITIONS = worker_speeds.Conditions(
    {runs.ImagePair(SERVING, BEST_EFFORT): 0.6}, busiest_load=0.6
)
"""All serving tasks are slowed down by the judged ones, and some have nothing
to spare for seconds at a time."""

REFUSAL_MS = 4000.0
JUDGED_MS = 30_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One play.

    Attributes:
        moment_ms: Time from the submission until the loss of power.
        best_effort: Whether the tasks are best-effort, beside serving ones.
        refused: Entries that the store refuses around the loss of power.
        evacuation_ms: Time within which evacuations are obeyed; 0 for none.
        speeds: Whether runs have speeds, and count only while they work.
    """

    moment_ms: float
    best_effort: bool
    refused: int
    evacuation_ms: int
    speeds: bool = False

    def __str__(self) -> str:
        """Returns the name of the case."""
        kind = "best-effort" if self.best_effort else "ordinary"
        name = (
            f"{kind}-{self.moment_ms:.0f}-refused {self.refused}"
            f"-{self.evacuation_ms}"
        )
        return f"{name}-speeds" if self.speeds else name


def list_cases(step_ms: float = MOMENT_STEP_MS) -> Iterator[Case]:
    """Yields all cases; the other properties vary with the moment."""
    moments = int(LAST_MOMENT_MS / step_ms)
    for number in range(moments):
        for best_effort in (False, True):
            for refused in range(ENTRIES):
                evacuation_ms = 5000 if number % 2 else 0
                yield Case(
                    number * step_ms, best_effort, refused, evacuation_ms
                )


def list_cases_with_speeds() -> Iterator[Case]:
    """Yields some moments within and between the steps."""
    for moment_ms in (100.0, 400.0, 700.0, 1000.0):
        for refused in (0, ENTRIES):
            yield Case(moment_ms, True, refused, 0, speeds=True)


def build_world(case: Case) -> large_world.LargeWorld:
    world = large_world.LargeWorld(
        int(case.moment_ms) + 1,
        AGENTS,
        entries=ENTRIES,
        conditions=CONDITIONS if case.speeds else None,
    )
    if case.speeds:
        world.waits.run_rule = wait_rules.WorkingRun()
    if case.evacuation_ms:
        world.evacuation_time = datetime.timedelta(
            milliseconds=case.evacuation_ms
        )
        for node in world.nodes.values():
            world.kill(node.name, 0)
    world.run(START_MS)
    return world


def build_job(case: Case) -> specs.JobSpec:
    step = specs.StepSpec(
        TASKS,
        4000,
        5776,
        estimate_ms=TASK_MS,
        checkpoints=case.best_effort,
        fills=case.best_effort,
        image=BEST_EFFORT if case.best_effort else specs.Image(""),
    )
    second = msgspec.structs.replace(step, after=(0,))
    return job_specs.build_job_of(JOB, (step, second))


def lose_power(world: large_world.LargeWorld) -> None:
    """Stops everything; the workers come back under new names."""
    for number, name in enumerate((*world.processors, *world.workers)):
        world.kill(name, DOWN_MS[number % len(DOWN_MS)])
    for number, worker in enumerate(world.workers.values()):
        worker.restart(world.now_ms, DOWN_MS[-1 - number % len(DOWN_MS)])
        worker.name += "x"


def refuse_by_store(
    world: large_world.LargeWorld, count: int, for_ms: float
) -> None:
    """Lets the store refuse some entries, the holder first."""
    names = sorted(
        world.processors,
        key=lambda name: world.nodes[name].state.holder_state is None,
    )
    for name in names[:count]:
        node = world.nodes[name]
        node.cut_store = True
        world.after(for_ms, lambda node=node: setattr(node, "cut_store", False))


def is_ended(world: large_world.LargeWorld) -> bool:
    record = world.store.progress.get(JOB)
    return record is not None and record.state in messages.FINAL_STATES


def play(case: Case) -> large_world.LargeWorld:
    """Plays a case, and judges the waits once it has been calm for a while."""
    world = build_world(case)
    if case.best_effort:
        serving = specs.StepSpec(
            AGENTS,
            2000,
            1000,
            estimate_ms=1000,
            long_running=True,
            max_per_worker=1,
            image=SERVING,
            target_latency_ms=50,
        )
        world.submit("entry-0", job_specs.build_job_of("serving", (serving,)))
        world.run(2500)
    world.submit("entry-0", build_job(case))
    refused_from_ms = max(0.0, case.moment_ms - REFUSAL_MS / 2)
    world.run(refused_from_ms)
    refuse_by_store(world, case.refused, REFUSAL_MS)
    world.run(case.moment_ms - refused_from_ms)
    lose_power(world)
    world.run(max(DOWN_MS[-1], REFUSAL_MS) + wait_oracle.CALM_MS)
    world.judge(JUDGED_MS, lambda: is_ended(world))
    return world


@pytest.mark.parametrize("case", tuple(list_cases()), ids=str)
def test_job_runs_after_a_loss_of_power(case: Case) -> None:
    """Guards against a second step that nobody starts after a loss of power."""
    world = play(case)
    assert world.waits.violations == {}
    if JOB in world.store.jobs:
        assert is_ended(world)


@pytest.mark.parametrize("case", tuple(list_cases_with_speeds()), ids=str)
def test_job_works_after_a_loss_of_power(case: Case) -> None:
    """Guards against a job whose runs all stand still after a loss of power."""
    world = play(case)
    assert world.waits.violations == {}
    if JOB in world.store.jobs:
        assert is_ended(world)
