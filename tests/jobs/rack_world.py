"""A large world in which tasks are slower away from their data or gang.

    python -m tests.jobs.rack_world --seeds 5

plays rushes on one rack with each locality policy, and prints what they change.
"""

import argparse
import dataclasses
import random
import statistics
from collections.abc import Iterator

import msgspec

from gypsumhold.decisions.jobs import capacity
from gypsumhold.decisions.jobs.locality import distances, wait_policies
from gypsumhold.model import ids
from gypsumhold.model.jobs import messages, policies, runs, scheduler, specs
from tests.jobs import job_specs, large_world, nodes

SLOWDOWN = 2.0
START_MS = 4000.0
RUSH_MS = 8000.0
LAST_MS = 40_000.0
BURSTS = 3
BURST_INTERVAL_MS = 4000.0
SAMPLE_MS = 20.0
HOT_RACK = ids.Rack("r1-0")

Submission = tuple[float, specs.JobSpec]


class RackWorld(large_world.LargeWorld):
    """A world of racks with three workers each."""

    def __init__(
        self,
        seed: int,
        agents: int,
        policy: policies.LocalityPolicy,
        slowdown: float = SLOWDOWN,
        told: bool = True,
    ) -> None:
        """Creates a world; without `told`, its entries know no factor."""
        self.policy = policy
        self.slowdown = slowdown
        self.told = told
        super().__init__(seed, agents)

    def _start_process(self, node: nodes.Node) -> None:
        super()._start_process(node)
        if isinstance(node.state, scheduler.SchedulerState):
            node.state.policies.locality = self.policy
            node.state.options = dataclasses.replace(
                node.state.options,
                off_rack_slowdown=self.slowdown if self.told else 1.0,
            )

    def find_holder_state(self) -> scheduler.HolderState | None:
        for node in self.nodes.values():
            state = node.state
            if (
                isinstance(state, scheduler.SchedulerState)
                and node.alive
                and state.role is scheduler.Role.HOLDER
            ):
                return state.holder_state
        return None

    def is_near(self, ref: runs.TaskRef) -> bool:
        """Tells whether a placed task is at its data and with its gang."""
        holder_state = self.find_holder_state()
        if holder_state is None:
            return True
        step = holder_state.jobs[ref.job_id].find_step(ref)
        unit = step.list_unit(step.tasks[ref.index])
        racks = {
            ids.Rack(
                capacity.find_rack_label(self.workers[task.instance].labels)
            )
            for task in unit
            if task.instance in self.workers
        }
        return distances.are_near(step.spec, racks)

    def _draw_work_ms(self, task: runs.TaskRef) -> float:
        work_ms = super()._draw_work_ms(task)
        return work_ms * (1 if self.is_near(task) else self.slowdown)

    def list_lines(self, outcome: str) -> list[dict[str, str]]:
        """Returns the inputs of the log lines about near places."""
        return [
            dict(line.inputs)
            for _, _, line in self.log_lines
            if line.decision == "near-place" and line.outcome == outcome
        ]


def list_data_rush(
    source: random.Random, agents: int, racks: int = 1
) -> Iterator[Submission]:
    """Yields jobs whose data is on a few racks, beside jobs without data."""
    for number in range(5 * agents):
        step = specs.StepSpec(
            source.randint(2, 8),
            2000,
            1000,
            estimate_ms=source.randint(600, 2400),
            data_rack=ids.Rack(f"r1-{source.randrange(racks)}"),
        )
        second = msgspec.structs.replace(step, after=(0,))
        spec = job_specs.build_job_of(f"data-{number:03}", (step, second))
        yield source.uniform(0, RUSH_MS), spec
    yield from _list_others(source, agents)


def list_bursts(source: random.Random, agents: int) -> Iterator[Submission]:
    """Yields short bursts of jobs whose data is on one rack."""
    for number in range(2 * agents):
        step = specs.StepSpec(
            source.randint(4, 10),
            2000,
            1000,
            estimate_ms=source.randint(400, 2400),
            data_rack=HOT_RACK,
        )
        spec = job_specs.build_job_of(f"data-{number:03}", (step,))
        burst = number % BURSTS
        yield burst * BURST_INTERVAL_MS + source.uniform(0, 300), spec
    yield from _list_others(source, agents)


def list_gang_rush(source: random.Random, agents: int) -> Iterator[Submission]:
    """Yields colocated gangs that take most of a rack."""
    for number in range(2 * agents):
        step = specs.StepSpec(
            source.randint(10, 20),
            4000,
            1000,
            estimate_ms=source.randint(600, 2400),
            gang=True,
            colocated=True,
        )
        spec = job_specs.build_job_of(f"gang-{number:03}", (step,))
        yield source.uniform(0, RUSH_MS), spec
    yield from _list_others(source, agents)


def _list_others(source: random.Random, agents: int) -> Iterator[Submission]:
    for number in range(2 * agents):
        step = specs.StepSpec(
            source.randint(2, 8),
            2000,
            1000,
            estimate_ms=source.randint(600, 2400),
        )
        spec = job_specs.build_job_of(f"other-{number:03}", (step,))
        yield source.uniform(0, RUSH_MS), spec


@dataclasses.dataclass(frozen=True, slots=True)
class Results:
    """What became of the jobs of a rush.

    Attributes:
        times_ms: Time from submission to the end, by job.
        on_time: Share of the jobs that met their objective.
        waits: Waits that began.
        near: Waits that ended on the near rack.
        violations: Jobs without a run for too long while there was room.
    """

    times_ms: dict[str, float]
    on_time: float
    waits: int
    near: int
    violations: int

    @property
    def mean_ms(self) -> float:
        return statistics.fmean(self.times_ms.values())


def play(world: RackWorld, submissions: list[Submission]) -> Results:
    """Plays a rush and returns what became of its jobs."""
    world.run(START_MS)
    sent_ms: dict[str, float] = {}

    def submit(spec: specs.JobSpec) -> None:
        sent_ms[spec.job_id] = world.now_ms
        submitted = msgspec.structs.replace(
            spec, submitted_ms=int(world.now_ms)
        )
        world.submit(world.random.choice(list(world.processors)), submitted)

    for at_ms, spec in submissions:
        world.after(at_ms, lambda spec=spec: submit(spec))
    times_ms: dict[str, float] = {}
    end_ms = world.now_ms + LAST_MS
    while world.now_ms < end_ms and len(times_ms) < len(submissions):
        world.run(SAMPLE_MS)
        world.waits.sample(world.now_ms)
        for job_id in sent_ms.keys() - times_ms.keys():
            record = world.store.progress.get(specs.JobId(job_id))
            if record and record.state is messages.JobState.COMPLETED:
                times_ms[job_id] = world.now_ms - sent_ms[job_id]
    specs_by_id = {spec.job_id: spec for _, spec in submissions}
    met = sum(
        time_ms <= compute_objective_ms(specs_by_id[specs.JobId(job_id)])
        for job_id, time_ms in times_ms.items()
    )
    return Results(
        times_ms,
        met / len(submissions),
        len(world.list_lines("wait")),
        len(world.list_lines("near")),
        len(world.waits.violations),
    )


def compute_objective_ms(spec: specs.JobSpec) -> float:
    """Returns the objective of a job whose steps run one after another."""
    path_ms = sum(step.estimate_ms for step in spec.steps)
    longest = large_world.RUN_TIME_SPREAD[1]
    return path_ms * longest * spec.queue.stretch + spec.queue.latency_target_ms


RUSHES = {
    "bursts": list_bursts,
    "data": list_data_rush,
    "two racks": lambda source, agents: list_data_rush(source, agents, 2),
    "gangs": list_gang_rush,
}


def play_before(rush: str, seed: int, agents: int) -> Results:
    """Plays a rush as before the factor was known."""
    submissions = list(RUSHES[rush](random.Random(seed), agents))
    policy = wait_policies.TakeAnywhere()
    return play(RackWorld(seed, agents, policy, told=False), submissions)


def play_after(rush: str, seed: int, agents: int) -> Results:
    """Plays a rush with waits that pay."""
    submissions = list(RUSHES[rush](random.Random(seed), agents))
    policy = wait_policies.WeighWait()
    return play(RackWorld(seed, agents, policy), submissions)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--agents", type=int, default=12)
    options = parser.parse_args()
    for rush in RUSHES:
        for seed in range(options.seeds):
            before = play_before(rush, seed, options.agents)
            after = play_after(rush, seed, options.agents)
            print(
                f"{rush:10} seed {seed}: mean {before.mean_ms:.0f} ->"
                f" {after.mean_ms:.0f} ms, on time {before.on_time:.3f} ->"
                f" {after.on_time:.3f}, done {len(before.times_ms)} ->"
                f" {len(after.times_ms)}, waits {after.waits}, near"
                f" {after.near}, violations {before.violations} ->"
                f" {after.violations}",
                flush=True,
            )


if __name__ == "__main__":
    main()
