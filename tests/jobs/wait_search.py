"""Random search for jobs that stay without a run while there is capacity.

    python -m tests.jobs.wait_search --load short --agents 80 --count 9

plays each seed in the large world and prints the waits that break the rule.
"""

import argparse
import dataclasses
import datetime
import random
import sys
from collections.abc import Callable

import msgspec

from gypsumhold.model.jobs import effects, messages, specs
from tests.jobs import (
    large_world,
    loads,
    processors,
    tail_latency,
    wait_oracle,
    wait_rules,
    worker_speeds,
)

START_MS = 4000.0
"""Time until a holder places tasks."""

JUDGED_MS = 45_000.0
MAX_CANCEL_DELAY_MS = 1500.0
MAX_FAULT_MS = 4000.0

MAX_DOWN_MS = 3200.0
"""Longest time until a machine is back after all have lost power."""

MIN_LOSS_MS = 6000.0
"""Earliest loss of power, so that there are runs to lose."""

ONE_CORE = processors.Costs(
    event=0.05,
    report=1.0,
    row=0.02,
    plan=3.0,
    open_job=0.03,
    placement=0.4,
    write=0.15,
    push=0.7,
    command=0.05,
)
"""Costs of the holder on one core; half a core takes twice as long."""


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """What is simulated.

    Attributes:
        load: Name of the load.
        agents: Number of workers.
        slowness: Factor on the costs of `ONE_CORE`; 0 for no costs.
        store_ms: Mean time that a batch takes beside its call.
        faults: Number of faults before the judged time.
        cancelled_share: Share of the jobs that are cancelled soon.
        power_loss: Whether all machines lose power during the load.
        store_down_ms: How long the store has been down by then, so that ends
            are lost with their workers.
        evacuation_ms: Time within which evacuations are obeyed; 0 where the
            platform sets none. No data centre is evacuated.
        speeds: Whether runs have speeds; only those that work count then.
        interference: Factor on how much images slow each other down.
        busiest_load: Mean load of the serving tasks of the busiest worker.
        lost_ends_count: Whether ends that workers lose count for good.
    """

    load: str
    agents: int = 40
    slowness: float = 0.0
    store_ms: float = 0.0
    faults: int = 0
    cancelled_share: float = 0.0
    power_loss: bool = False
    store_down_ms: float = 0.0
    evacuation_ms: float = 0.0
    speeds: bool = False
    interference: float = 1.0
    busiest_load: float = worker_speeds.BUSIEST_LOAD
    lost_ends_count: bool = False

    def get_evacuation_time(self) -> datetime.timedelta | None:
        if not self.evacuation_ms:
            return None
        return datetime.timedelta(milliseconds=self.evacuation_ms)

    def build_conditions(self) -> worker_speeds.Conditions | None:
        if not self.speeds:
            return None
        return worker_speeds.Conditions(
            tail_latency.scale(
                tail_latency.TRUE_INTERFERENCE, self.interference
            ),
            busiest_load=self.busiest_load,
        )


def play(seed: int, setting: Setting) -> large_world.LargeWorld:
    """Plays a load and judges it from when it is calm until all jobs end."""
    costs = ONE_CORE.scale(setting.slowness)
    world = large_world.LargeWorld(
        seed,
        setting.agents,
        costs,
        evacuation_time=setting.get_evacuation_time(),
        conditions=setting.build_conditions(),
    )
    if setting.speeds:
        world.waits.run_rule = wait_rules.WorkingRun()
    if setting.lost_ends_count:
        world.waits.lost_ends = wait_rules.LostEnds.DONE
    world.run(START_MS)
    if setting.store_ms:
        world.pauses_ms[effects.CommitBatch] = lambda: world.random.uniform(
            0, 2 * setting.store_ms
        )
    source = random.Random(seed)
    last_ms = submit_load(world, source, setting)
    inject_faults(world, source, setting.faults, last_ms)
    if setting.power_loss:
        last_ms = schedule_power_loss(world, setting, last_ms)
    world.run(last_ms)
    world.judge(JUDGED_MS, lambda: not list_open_jobs(world))
    return world


def schedule_power_loss(
    world: large_world.LargeWorld, setting: Setting, last_ms: float
) -> float:
    """Schedules a loss of power; returns the time until it is calm after it.

    Args:
        world: The world.
        setting: What is simulated.
        last_ms: Time until the last submission.
    """
    calm_ms = MAX_DOWN_MS + wait_oracle.CALM_MS
    lost_ms = max(MIN_LOSS_MS, last_ms - calm_ms)
    if setting.store_down_ms:
        world.after(
            max(0.0, lost_ms - setting.store_down_ms),
            lambda: setattr(world, "store_down", True),
        )
    world.after(lost_ms, lambda: lose_power(world))
    return lost_ms + calm_ms


def submit_load(
    world: large_world.LargeWorld, source: random.Random, setting: Setting
) -> float:
    """Schedules all submissions; returns the time until the last one."""
    load = loads.LOADS[setting.load]
    last_ms = 0.0
    for at_ms, spec in load.list_submissions(source, setting.agents):
        last_ms = max(last_ms, at_ms)
        world.after(at_ms, lambda spec=spec: submit(world, spec))
        if source.random() < setting.cancelled_share:
            delay_ms = source.uniform(5, MAX_CANCEL_DELAY_MS)
            world.after(
                at_ms + delay_ms, lambda spec=spec: cancel(world, spec.job_id)
            )
    return last_ms


def submit(world: large_world.LargeWorld, spec: specs.JobSpec) -> None:
    entry = world.random.choice(list(world.processors))
    submitted_ms = int(world.now_ms) + spec.submitted_ms
    submitted = msgspec.structs.replace(spec, submitted_ms=submitted_ms)
    world.submit(entry, submitted)


def cancel(world: large_world.LargeWorld, job_id: specs.JobId) -> None:
    entry = world.random.choice(list(world.processors))
    world.send_query(entry, messages.QueryKind.CANCEL, job_id)


def inject_faults(
    world: large_world.LargeWorld,
    source: random.Random,
    count: int,
    within_ms: float,
) -> None:
    """Schedules faults of agents and workers, the last of which ends in time.

    It is calm again after the given time.
    """
    latest_end_ms = within_ms - wait_oracle.CALM_MS
    for _ in range(count):
        for_ms = source.uniform(300, MAX_FAULT_MS)
        at_ms = source.uniform(0, max(0.0, latest_end_ms - for_ms))
        fault = source.choice(FAULTS)
        name = source.choice(list(world.workers))
        world.after(
            at_ms,
            lambda fault=fault, name=name, for_ms=for_ms: fault(
                world, name, for_ms
            ),
        )


Fault = Callable[[large_world.LargeWorld, str, float], None]


def cut_agent(world: large_world.LargeWorld, name: str, for_ms: float) -> None:
    node = world.nodes[name]
    node.cut = True
    world.after(for_ms, lambda: setattr(node, "cut", False))


def cut_worker(world: large_world.LargeWorld, name: str, for_ms: float) -> None:
    node = world.nodes[name]
    node.cut_worker = True
    world.after(for_ms, lambda: setattr(node, "cut_worker", False))


def freeze_agent(
    world: large_world.LargeWorld, name: str, for_ms: float
) -> None:
    world.freeze(name, for_ms)


def kill_agent(world: large_world.LargeWorld, name: str, for_ms: float) -> None:
    world.kill(name, for_ms)


def restart_worker(
    world: large_world.LargeWorld, name: str, for_ms: float
) -> None:
    world.workers[name].restart(world.now_ms, for_ms)


def lose_power(world: large_world.LargeWorld) -> None:
    """Stops all processes and workers; each is back after a time of its own.

    The store answers from then on.
    """
    world.store_down = False
    for name in (*world.processors, *world.workers):
        world.kill(name, world.random.uniform(0, MAX_DOWN_MS))
    for worker in world.workers.values():
        worker.restart(world.now_ms, world.random.uniform(0, MAX_DOWN_MS))


FAULTS: tuple[Fault, ...] = (
    cut_agent,
    cut_worker,
    freeze_agent,
    kill_agent,
    restart_worker,
)


def list_open_jobs(world: large_world.LargeWorld) -> list[specs.JobId]:
    """Returns the open jobs that end by themselves."""
    open_jobs = []
    for job_id, spec in world.store.jobs.items():
        record = world.store.progress.get(job_id)
        is_ended = record is not None and record.state in messages.FINAL_STATES
        if not is_ended and not spec.steps[0].long_running:
            open_jobs.append(job_id)
    return open_jobs


def describe(seed: int, world: large_world.LargeWorld) -> str:
    """Returns a line with the longest waits of a seed."""
    waits = sorted(
        world.waits.longest.values(), key=lambda wait: -wait.measure_ms()
    )
    worst = ", ".join(
        f"{wait.task} {wait.measure_ms():.0f} ms until {wait.until_ms:.0f}"
        for wait in waits[:3]
    )
    busy = max(item.busy_ms for item in world.processors.values())
    return (
        f"seed {seed}: {len(world.waits.violations)} violations,"
        f" {len(list_open_jobs(world))} of {len(world.store.jobs)} open,"
        f" busy {busy / world.now_ms:.2f}, longest {worst or 'none'}"
    )


def main() -> int:
    """Plays the seeds of the arguments; returns 1 if one breaks the rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--load", choices=loads.LOADS, required=True)
    parser.add_argument("--agents", type=int, default=40)
    parser.add_argument("--slowness", type=float, default=0.0)
    parser.add_argument("--store-ms", type=float, default=0.0)
    parser.add_argument("--faults", type=int, default=0)
    parser.add_argument("--cancelled-share", type=float, default=0.0)
    parser.add_argument("--power-loss", action="store_true")
    parser.add_argument("--store-down-ms", type=float, default=0.0)
    parser.add_argument("--evacuation-ms", type=float, default=0.0)
    parser.add_argument("--speeds", action="store_true")
    parser.add_argument("--interference", type=float, default=1.0)
    parser.add_argument(
        "--busiest-load", type=float, default=worker_speeds.BUSIEST_LOAD
    )
    parser.add_argument("--lost-ends-count", action="store_true")
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=10)
    arguments = parser.parse_args()
    setting = Setting(
        arguments.load,
        arguments.agents,
        arguments.slowness,
        arguments.store_ms,
        arguments.faults,
        arguments.cancelled_share,
        arguments.power_loss,
        arguments.store_down_ms,
        arguments.evacuation_ms,
        arguments.speeds,
        arguments.interference,
        arguments.busiest_load,
        arguments.lost_ends_count,
    )
    print(setting, flush=True)
    failed = False
    for seed in range(arguments.first, arguments.first + arguments.count):
        world = play(seed, setting)
        failed = failed or bool(world.waits.violations)
        print(describe(seed, world), flush=True)
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
