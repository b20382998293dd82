"""How long a task that could run does not, once all faults are over."""

from gypsumhold.decisions.jobs import absent_workers
from gypsumhold.decisions.jobs.run_bounds import expiries
from gypsumhold.model.jobs import records, runs, scheduler
from tests.jobs import virtual_time
from tests.jobs.order_search import small_world, steps, worker_link

STEP_MS = 50.0
SETTLED_MS = 3000.0
"""An agent has polled its worker by then, and stops a run that is not to be."""

MAX_SPANS = 4
"""Times the bound after which a task still stops and waits in turns."""


def compute_bound_ms(
    world: small_world.SmallWorld, limits: steps.Limits
) -> float:
    """Returns the longest wait that the constants allow after these steps.

    A start may be sent until the grant of an agent out of reach ends, and be
    carried out after the longest call delay. A list of workers that is asked
    for after that lacks the worker. Without a list, a run that began so late
    has to end with its lease.
    """
    state = world.processes["entry-0"].state
    assert isinstance(state, scheduler.SchedulerState)
    options = state.options
    bound = options.limits.max_call_delay + expiries.GRANT_MARGIN
    if limits.lost_holders:
        # The takeover, and the grants of the former holder.
        bound += options.takeover_delay + options.poll_interval
        bound += options.grant_window - options.takeover_delay + options.grant
    elif limits.agent_cuts or limits.agent_restarts or limits.lost_reports:
        bound += options.grant
    if options.lists_workers:
        bound += options.report_timeout + absent_workers.LIST_INTERVAL
    else:
        bound += options.limits.measure_longest_lease()
    return virtual_time.to_ms(bound)


def measure_longest_ms(world: small_world.SmallWorld, bound_ms: float) -> float:
    """Lets the world go on without faults, and returns the longest wait.

    Calls that are held are lost, and lost workers stay so while one is up.
    """
    _end_faults(world)
    longest_ms = waited_ms = settled_ms = 0.0
    for _ in range(int(MAX_SPANS * bound_ms / STEP_MS)):
        world.run(STEP_MS)
        if _does_a_task_wait(world):
            waited_ms += STEP_MS
            settled_ms = 0.0
        else:
            waited_ms = 0.0
            settled_ms += STEP_MS
        longest_ms = max(longest_ms, waited_ms)
        if longest_ms > bound_ms or settled_ms >= SETTLED_MS:
            return longest_ms
    return MAX_SPANS * bound_ms


def _end_faults(world: small_world.SmallWorld) -> None:
    world.held.clear()
    for name in world.workers:
        node = world.processes[name]
        node.cut = node.cut_store = node.cut_worker = False
    if not any(world.is_up(name) for name in world.workers):
        first = next(iter(world.workers))
        world.bring_back_worker(first, worker_link.FIRST_HEARTBEAT_MS)


def _does_a_task_wait(world: small_world.SmallWorld) -> bool:
    """Tells whether more tasks could run on the workers that are up."""
    spec = world.store.jobs.get(small_world.JOB)
    if spec is None:
        # It was not accepted.
        return False
    tasks = spec.steps[0].count
    room = tasks
    if tasks > 1:
        # Each task fills a worker.
        room = sum(world.is_up(name) for name in world.workers)
    running: set[runs.TaskRef] = set()
    ended = _list_stored_ends(world, tasks)
    for worker in world.workers.values():
        worker.advance(world.now_ms)
        running |= worker.running.keys()
        ended |= {
            row.ref.task.index
            for row in worker.ends
            if row.end is runs.RunEnd.DONE
        }
    return len(running) < min(tasks - len(ended), room)


def _list_stored_ends(world: small_world.SmallWorld, tasks: int) -> set[int]:
    """Returns the tasks that the store tells to run no more."""
    record = world.store.progress.get(small_world.JOB)
    if record is None:
        return set()
    if record.has_begun and not record.steps:
        return set(range(tasks))
    ends = (records.TaskState.DONE, records.TaskState.CLOSED)
    return {
        index
        for step in record.steps
        for index, task in enumerate(step.tasks)
        if task.state in ends
    }
