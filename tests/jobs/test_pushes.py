"""Tests that agents learn of a stored batch without waiting for a report.

Guards against starts that reach their agents with the answer to the next
regular report only, up to a second after they were stored.
"""

import functools
from collections.abc import Callable, Iterator

from gypsumhold.model.jobs import effects, executor, runs, scheduler, specs
from tests.jobs import job_specs, large_world, processors, test_regressions

AGENTS = 100
JOBS = 290
BATCH_MS = 300.0
MAX_PUSH_MS = 100.0
"""Time for a push; far below the pause between two reports."""

SAMPLE_MS = 10.0
PLAN_MS = 300.0


class PushWorld(large_world.LargeWorld):
    """A world that measures when agents learn of what is stored."""

    def measure_longest(
        self, list_waiting: Callable[[], Iterator[object]]
    ) -> float:
        """Returns for how long at most something was listed as waiting."""
        since: dict[object, float] = {}
        longest_ms = 0.0
        for _ in range(600):
            self.run(SAMPLE_MS)
            waiting = set(list_waiting())
            since = {item: since.get(item, self.now_ms) for item in waiting}
            for since_ms in since.values():
                longest_ms = max(longest_ms, self.now_ms - since_ms)
        return longest_ms

    def find_holder_state(self) -> scheduler.HolderState:
        state = test_regressions.find_holder(self).state
        assert state.holder_state is not None
        return state.holder_state

    def find_agent(self, name: str) -> executor.ExecutorState:
        state = self.nodes[name].state
        assert isinstance(state, executor.ExecutorState)
        return state

    def list_unknown_starts(self) -> Iterator[runs.RunRef]:
        """Yields the runs that are stored and of which no agent knows."""
        holder_state = self.find_holder_state()
        for view in holder_state.agents.values():
            agent = self.find_agent(view.instance)
            ended = {end.ref for end in agent.ends.values()}
            for ref, placed in view.placed.items():
                task = placed.task
                run = runs.RunRef(ref, task.run)
                is_stored = task.batch <= holder_state.stored_batch
                if not is_stored or task.reported:
                    continue
                if run not in agent.active and run not in ended:
                    yield run

    def list_unsent_acknowledgements(
        self,
    ) -> Iterator[tuple[str, runs.EndNumber]]:
        """Yields the ends that are stored and that agents may not discard."""
        holder_state = self.find_holder_state()
        for view in holder_state.agents.values():
            agent = self.find_agent(view.instance)
            for pending in view.acknowledgements:
                is_stored = pending.batch <= holder_state.stored_batch
                if is_stored and pending.number > agent.acknowledged:
                    yield (view.instance, pending.number)


class OverfullWorld(PushWorld):
    """A world in which more jobs change during a batch than the next stores.

    Short tasks of many jobs end at about the same time, and others go on, so
    that no job waits and the oldest changes are stored first.
    """

    def __init__(self) -> None:
        super().__init__(1, AGENTS)
        self.run(4000)
        lasting = specs.StepSpec(1, 5000, 10, estimate_ms=30_000)
        second = specs.StepSpec(1, 5000, 10, estimate_ms=4000, after=(1,))
        for number in range(JOBS):
            first_ms = 4000 - 2 * number
            first = specs.StepSpec(1, 5000, 10, estimate_ms=first_ms)
            job = job_specs.build_job_of(
                f"job-{number}", (lasting, first, second)
            )
            self.submit("entry-0", job)
        self.run(2000)
        self.pauses_ms[effects.CommitBatch] = lambda: BATCH_MS

    def _draw_work_ms(self, task: runs.TaskRef) -> float:
        return self.store.jobs[task.job_id].steps[task.step].estimate_ms


def test_starts_are_pushed_once_a_later_batch_stores_them() -> None:
    """Guards against placements that did not fit into the first batch."""
    world = OverfullWorld()
    longest_ms = world.measure_longest(world.list_unknown_starts)
    assert len(world.oracle.started) > 2 * JOBS
    assert longest_ms <= MAX_PUSH_MS


def test_acknowledgements_are_pushed_once_a_later_batch_stores_them() -> None:
    """Guards against workers that list stored ends for a second more."""
    world = OverfullWorld()
    longest_ms = world.measure_longest(world.list_unsent_acknowledgements)
    assert longest_ms <= MAX_PUSH_MS


def test_starts_are_pushed_before_the_next_plan() -> None:
    """Guards against starts that wait until the plan after theirs is made.

    The holder is so slow that a plan takes long, and jobs come all the time, so
    that each batch is followed by a plan.
    """
    world = PushWorld(1, 10, processors.Costs(plan=PLAN_MS))
    world.run(4000)
    for number in range(40):
        submit = functools.partial(
            world.submit, "entry-0", job_specs.build_job(f"job-{number}", (1,))
        )
        world.after(100 * number, submit)
    longest_ms = world.measure_longest(world.list_unknown_starts)
    assert len(world.oracle.started) == 40
    assert longest_ms <= MAX_PUSH_MS
