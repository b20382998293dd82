"""What the agent learns from the lists of its worker."""

import datetime

from gypsumhold.decisions.jobs import colocation, commands, leases
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import effects, events, executor, runs

Made = list[base_effects.Effect]

UNACKNOWLEDGED_PAUSE = datetime.timedelta(milliseconds=100)
"""A worker answers at once while it lists ends, so the agent has to wait."""

NO_WAIT = datetime.timedelta(0)


def handle_heartbeat(
    state: executor.ExecutorState,
    event: events.HeartbeatReceived,
    now: datetime.timedelta,
) -> Made:
    """Applies a heartbeat of the worker."""
    new = event.worker
    old = state.worker
    if old is not None:
        if new.incarnation.started_ms < old.incarnation.started_ms:
            return []
        if new.incarnation == old.incarnation and new.sequence <= old.sequence:
            return []
    made: Made = []
    if old is None or new.incarnation != old.incarnation:
        made += _begin_life(state, new)
    elif new.state is not old.state:
        state.report_due = True
        made.append(_log_worker(new, new.state.value))
    state.worker = new
    made += poll_worker(state, now)
    return [*made, *commands.start_waiting(state, now)]


def _log_worker(worker: runs.Worker, outcome: str) -> effects.Log:
    inputs = (
        ("born_ms", str(worker.incarnation.started_ms)),
        ("heartbeat", str(worker.sequence)),
    )
    return effects.Log("worker", worker.incarnation.name, outcome, inputs)


def _begin_life(state: executor.ExecutorState, worker: runs.Worker) -> Made:
    """Forgets everything of the former life, which has ended with it."""
    state.active.clear()
    state.ends.clear()
    state.refused.clear()
    state.clock = None
    state.polled = False
    state.acknowledged = runs.EndNumber(0)
    state.answering = True
    state.left = False
    state.serving.clear()
    state.sample = None
    # Orders to the former life that are carried out late must be refused. The
    # new life is reported once a look under this fence has been answered.
    state.fence += 1
    return [_log_worker(worker, "new life")]


def handle_worker_left(
    state: executor.ExecutorState,
    event: events.WorkerLeft,
    now: datetime.timedelta,
) -> Made:
    """The worker ends; so does everything on it."""
    worker = state.worker
    if worker is None or worker.incarnation.name != event.name:
        return []
    state.left = True
    state.report_due = True
    return [_log_worker(worker, "left")]


def poll_worker(
    state: executor.ExecutorState,
    now: datetime.timedelta,
    pause: datetime.timedelta = NO_WAIT,
) -> Made:
    """Reads the worker's lists unless a read is under way."""
    worker = state.worker
    if worker is None or state.poll_pending:
        return []
    state.poll_pending = True
    until_ms = None
    if state.answering and not state.left:
        until_ms = leases.compute_lease_end(state, now)
    if until_ms is not None:
        leases.record_lease_sent(state, until_ms)
    return [
        effects.PollWorker(
            worker,
            state.fence,
            _choose_acknowledged(state),
            until_ms,
            _choose_wait(state),
            pause,
        )
    ]


def _choose_acknowledged(state: executor.ExecutorState) -> runs.EndNumber:
    """Returns up to which end the worker may forget.

    After silence the worker may have begun another life, whose ends have the
    same numbers.
    """
    return state.acknowledged if state.answering else runs.EndNumber(0)


def _choose_wait(state: executor.ExecutorState) -> datetime.timedelta:
    if not state.polled or state.ends:
        return NO_WAIT
    locals_ = state.active.values()
    if any(run.state is executor.LocalState.IN_DOUBT for run in locals_):
        return NO_WAIT
    if colocation.list_serving(state):
        return state.options.serving_poll_wait
    return state.options.poll_wait


def handle_poll_answer(
    state: executor.ExecutorState,
    event: events.WorkerPolled,
    now: datetime.timedelta,
) -> Made:
    """Applies the worker's lists and looks again."""
    state.poll_pending = False
    worker = state.worker
    if worker is None or event.worker_incarnation != worker.incarnation:
        return poll_worker(state, now)
    if event.result is events.CommandResult.FENCED:
        state.fence = max(state.fence, event.fence + commands.FENCE_JUMP)
        return poll_worker(state, now, state.options.retry_time)
    if event.clock is None or event.started_ms != worker.incarnation.started_ms:
        made = _miss(state, event, now)
        return [*made, *poll_worker(state, now, state.options.retry_time)]
    made = []
    if not state.answering:
        made.append(_log_worker(worker, "answers again"))
    state.answering = True
    commands.note_clock(state, event.clock)
    made += _reconcile(state, event, now)
    state.report_due = state.report_due or not state.polled
    state.polled = True
    made += commands.start_waiting(state, now)
    made += colocation.adjust_throttling(state, now)
    pause = UNACKNOWLEDGED_PAUSE if state.ends else NO_WAIT
    return [*made, *poll_worker(state, now, pause)]


def _miss(
    state: executor.ExecutorState,
    event: events.WorkerPolled,
    now: datetime.timedelta,
) -> Made:
    made: Made = []
    if state.answering:
        state.report_due = True
        made.append(
            effects.Log(
                "worker",
                event.worker_incarnation.name,
                "silent",
                (("result", event.result.value),),
            )
        )
    state.answering = False
    for local in list(state.active.values()):
        if local.state is executor.LocalState.WAITING:
            made += commands.refuse(state, local.ref, runs.Refusal.UNHEALTHY)
    if leases.has_expired(state, now) and state.active:
        # Nothing runs any more; a worker that comes back starts empty.
        state.active.clear()
        state.report_due = True
        made.append(
            effects.Log("worker", event.worker_incarnation.name, "lease lapsed")
        )
    return made


def _reconcile(
    state: executor.ExecutorState,
    event: events.WorkerPolled,
    now: datetime.timedelta,
) -> Made:
    assert event.clock is not None
    made: Made = []
    for end in event.ends:
        if end.number > state.acknowledged and end.number not in state.ends:
            state.ends[end.number] = end
            state.report_due = True
        state.active.pop(end.ref, None)
    listed = {row.ref: row for row in event.rows}
    for row in event.rows:
        local = state.active.get(row.ref)
        if local is None:
            local = executor.LocalRun(
                row.ref, None, executor.LocalState.RUNNING
            )
            state.active[row.ref] = local
            state.report_due = True
            made.append(_log_found(row))
        local.row = row
        if local.state is not executor.LocalState.RUNNING:
            local.state = executor.LocalState.RUNNING
            local.confirmed_at = now
    for local in list(state.active.values()):
        if local.ref not in listed:
            made += _note_missing(state, local, event)
    return made


def _log_found(row: runs.RunRow) -> effects.Log:
    inputs = (("task", str(row.ref.task)), ("run", str(row.ref.run)))
    return effects.Log("run-found", row.ref.task.job_id, "reported", inputs)


def _note_missing(
    state: executor.ExecutorState,
    local: executor.LocalRun,
    event: events.WorkerPolled,
) -> Made:
    assert event.clock is not None
    if local.state is executor.LocalState.IN_DOUBT:
        if event.fence >= local.fence:
            return commands.refuse(state, local.ref, runs.Refusal.UNANSWERED)
        return []
    running = local.state is executor.LocalState.RUNNING
    if running and event.clock.sent_at > local.confirmed_at:
        # It has ended, and its end was acknowledged before.
        del state.active[local.ref]
    return []
