"""Carries out the directives of the holder of the queue."""

import dataclasses
import datetime

from gypsumhold.decisions.jobs import (
    commands,
    losses,
    received_evacuations,
    refusals,
    starts,
)
from gypsumhold.decisions.jobs.run_bounds import leases, open_starts
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids, members
from gypsumhold.model.jobs import effects, executor, messages, runs

EffectList = list[base_effects.Effect]


@dataclasses.dataclass(frozen=True, slots=True)
class AnsweredReport:
    """A report that directives answer.

    Attributes:
        sequence: Number of the report.
        sent_at: When it was sent, from which the grant counts.
    """

    sequence: int
    sent_at: datetime.timedelta


def begin_term(
    state: executor.ExecutorState, term: ids.Epoch, holder: members.Address
) -> None:
    """Reports to the holder of a newer term from now on, and at once.

    A report that is under way is not waited for: it may have gone to the former
    holder, which may be lost, and would end only with its timeout.
    """
    state.term = term
    state.unreported_pairs = set(state.interference_sums)
    state.holder = holder
    state.report_pending = False
    state.report_due = True


def handle_directives(
    state: executor.ExecutorState,
    directives: messages.Directives,
    now: datetime.timedelta,
    answered: AnsweredReport | None = None,
) -> EffectList:
    """Carries out the directives of the holder unless they are outdated.

    Args:
        state: State of the executor.
        directives: The directives.
        now: Reading of the agent's clock.
        answered: The report that they answer; None if they answer no report
            and thus grant no lease.
    """
    if directives.incarnation != state.options.incarnation:
        return []
    if not directives.holder:
        return _handle_redirect(state, directives)
    if directives.term < state.term or directives.endpoint is None:
        return []
    emitted: EffectList = []
    if directives.term > state.confirmed_term:
        _confirm_term(state, directives.term)
    if directives.term > state.term or state.holder is None:
        address = directives.endpoint.build_address()
        if directives.term > state.term:
            begin_term(state, directives.term, address)
        state.holder = address
        inputs = (("term", str(directives.term)),)
        emitted.append(
            effects.Log("holder-changed", directives.holder, "followed", inputs)
        )
    received_evacuations.receive(
        state,
        directives.evacuation_notice,
        None if answered is None else answered.sent_at,
    )
    if (
        state.worker is None
        or directives.worker_incarnation != state.worker.incarnation
    ):
        return emitted
    if answered is not None:
        _record_former_starts(state, directives, now)
    if answered is not None and directives.grant_ms:
        grant = datetime.timedelta(milliseconds=directives.grant_ms)
        state.grant_end = max(state.grant_end, answered.sent_at + grant)
    if answered is not None and directives.absent_ms != messages.NOT_ABSENT:
        _record_absence(state, directives.absent_ms, answered)
    _acknowledge(state, directives.acknowledged)
    losses.forget_stored(state, directives.stored_losses)
    if answered is not None:
        emitted += _drop_revoked_starts(state, directives, now, answered)
    if directives.sequence <= state.sequence:
        # An outdated answer brings no commands, but maybe the first lease.
        return [*emitted, *starts.start_waiting_runs(state, now)]
    state.sequence = directives.sequence
    return [*emitted, *_carry_out(state, directives, now)]


def _record_absence(
    state: executor.ExecutorState,
    absent_ms: runs.SpanMs,
    answered: AnsweredReport,
) -> None:
    """Records that the platform lists no worker of this name.

    The age of the list counts from before the answer was built. No run of the
    worker went on at that moment, and only a later start can begin one.
    """
    if state.answering:
        return
    asked_at = answered.sent_at - datetime.timedelta(milliseconds=absent_ms)
    leases.record_absence(state, asked_at)
    open_starts.settle(state, asked_at)


def _confirm_term(state: executor.ExecutorState, term: ids.Epoch) -> None:
    """Counts the sequences of directives anew, from those of this term."""
    state.confirmed_term = term
    state.sequence = 0
    for local_run in state.active.values():
        local_run.sequence = 0


def _drop_revoked_starts(
    state: executor.ExecutorState,
    directives: messages.Directives,
    now: datetime.timedelta,
    answered: AnsweredReport,
) -> EffectList:
    """Drops the waiting runs that the holder has released since it sent them.

    The command may have been under way until the grant had expired. The new
    grant is for the runs that the holder still has placed here: it names them
    to start, unless the report listed them, and then it names those to stop.
    Commands that were sent after the answer, and overtook it, are not dropped.
    Nor is a run that an open start may begin, but it is not sent again.
    """
    wanted = {command.ref for command in directives.starts}
    emitted: EffectList = []
    for local_run in list(state.active.values()):
        is_waiting = local_run.state is executor.LocalState.WAITING
        is_earlier = local_run.sequence < directives.sequence
        first_report = local_run.first_report
        was_listed = (
            first_report is not None and first_report <= answered.sequence
        )
        if not is_waiting or not is_earlier:
            continue
        if was_listed or local_run.ref in wanted:
            continue
        if open_starts.may_work(state, local_run.ref, now):
            refusal = runs.Refusal.STALE
            emitted += refusals.refuse_run(state, local_run.ref, refusal, now)
            continue
        del state.active[local_run.ref]
        emitted.append(_log_revoked_start(local_run.ref))
    return emitted


def _log_revoked_start(ref: runs.RunRef) -> effects.Log:
    inputs = (("task", str(ref.task)), ("run", str(ref.run)))
    return effects.Log("start", ref.task.job_id, "dropped: released", inputs)


def _carry_out(
    state: executor.ExecutorState,
    directives: messages.Directives,
    now: datetime.timedelta,
) -> EffectList:
    """Applies the estimates, commands and stops of new directives."""
    emitted: EffectList = []
    for estimate in directives.interference_estimates:
        state.interference_estimates[estimate.pair] = estimate.per_core
    if directives.deferred is not None:
        state.deferred = directives.deferred
    for command in directives.found:
        open_starts.record_command(state, command)
        local_run = state.active.get(command.ref)
        if local_run is not None and local_run.command is None:
            local_run.command = command
            local_run.throttle_percent = -1
    for ref in directives.stops:
        emitted += commands.stop_run(state, ref, now)
    for ref in directives.withdrawn:
        emitted += _refuse_withdrawn(state, ref, now)
    for command in directives.starts:
        emitted += _accept_start(state, command, now)
    return [*emitted, *starts.start_waiting_runs(state, now)]


def _record_former_starts(
    state: executor.ExecutorState,
    directives: messages.Directives,
    now: datetime.timedelta,
) -> None:
    """Records the runs whose start a former process may have sent.

    The holder has placed them, and the first report to it does not list them,
    or only as requested from this process; or the report lists the run by one
    start while another may be late. A holder that was replaced may not know all
    of them.
    """
    known = state.former_starts
    if known is not None and directives.term <= state.former_starts_term:
        return
    commands_sent: dict[runs.RunRef, runs.StartCommand | None] = {
        local_run.ref: local_run.command
        for local_run in state.active.values()
        if local_run.command is not None
    }
    commands_sent |= dict.fromkeys(directives.late_starts)
    commands_sent |= dict.fromkeys(directives.withdrawn)
    commands_sent |= {command.ref: command for command in directives.starts}
    state.former_starts = (known or frozenset()) | frozenset(commands_sent)
    state.former_starts_term = directives.term
    if now >= state.former_runs_expire_at:
        return
    for ref, command in commands_sent.items():
        is_late = ref in directives.late_starts
        open_starts.record_former(state, ref, command, is_late=is_late)


def _refuse_withdrawn(
    state: executor.ExecutorState, ref: runs.RunRef, now: datetime.timedelta
) -> EffectList:
    """Stops a run that is not to run any more, or refuses it if it is unknown.

    The holder releases the task once it knows that the run never starts. Older
    directives, with the start command, are ignored from now on.
    """
    if ref in state.active:
        return commands.stop_run(state, ref, now)
    if _may_begin_out_of_reach(state, ref, now):
        _keep_former_start(state, ref, None, now)
        return []
    if ref in state.refused or _may_have_ended(state, ref):
        return []
    return refusals.refuse_run(state, ref, runs.Refusal.STALE, now)


def _may_begin_out_of_reach(
    state: executor.ExecutorState, ref: runs.RunRef, now: datetime.timedelta
) -> bool:
    """Tells whether a silent worker may begin a run for a former process."""
    if state.answering:
        return False
    if state.former_starts is None:
        return now < state.former_runs_expire_at
    return open_starts.may_work(state, ref, now)


def _keep_former_start(
    state: executor.ExecutorState,
    ref: runs.RunRef,
    command: runs.StartCommand | None,
    now: datetime.timedelta,
) -> None:
    """Keeps a run in doubt that a silent worker may begin.

    Without a command, the run is not to be started by this process.
    """
    if any(end.ref == ref for end in state.ends.values()):
        return
    if state.former_starts is None:
        open_starts.record_former(state, ref, command)
    state.active[ref] = executor.LocalRun(
        ref,
        command,
        executor.LocalState.IN_DOUBT,
        received_at=now,
        sequence=state.sequence,
        fence=state.fence,
        doubted_at=now,
        withheld_refusal=runs.Refusal.STALE if command is None else None,
    )


def _may_have_ended(state: executor.ExecutorState, ref: runs.RunRef) -> bool:
    """Tells whether a run that is not active has, or may have, ended.

    Its end has still to be acknowledged, or to be listed. The holder repeats
    its directives until the run is reported, so nothing is lost by waiting.
    """
    if not state.ends_complete:
        return True
    return any(end.ref == ref for end in state.ends.values())


def _handle_redirect(
    state: executor.ExecutorState, directives: messages.Directives
) -> EffectList:
    """Applies directives of an entry that does not hold the queue.

    The next report goes to the holder that the directives name, or else to the
    next entry. Then a term of which only a row was read is forgotten, as after
    a report without an answer.
    """
    if directives.endpoint is not None and directives.term >= state.term:
        state.holder = directives.endpoint.build_address()
    else:
        state.term = state.confirmed_term
        state.holder = None
        state.next_entry += 1
    return []


def _acknowledge(
    state: executor.ExecutorState, acknowledged: runs.EndNumber
) -> None:
    """Drops the ends that the holder has stored."""
    state.acknowledged = max(state.acknowledged, acknowledged)
    for number in list(state.ends):
        if number <= state.acknowledged:
            del state.ends[number]
            del state.ends_listed_at[number]


def _accept_start(
    state: executor.ExecutorState,
    command: runs.StartCommand,
    now: datetime.timedelta,
) -> EffectList:
    """Adds a requested run, or refuses it if the worker takes no runs.

    Directives repeat a start until it is reported, so known runs are ignored.
    """
    if command.ref in state.active or command.ref in state.refused:
        return []
    if _may_begin_out_of_reach(state, command.ref, now):
        _keep_former_start(state, command.ref, command, now)
        return []
    if _may_have_ended(state, command.ref):
        return []
    worker = state.worker
    assert worker is not None
    if worker.state is runs.WorkerState.DRAINING or state.worker_left:
        refusal = runs.Refusal.DRAINING
        return refusals.refuse_run(state, command.ref, refusal, now)
    if not state.answering:
        refusal = runs.Refusal.UNHEALTHY
        return refusals.refuse_run(state, command.ref, refusal, now)
    if state.former_starts is None and now < state.former_runs_expire_at:
        open_starts.record_former(state, command.ref, command)
    state.active[command.ref] = executor.LocalRun(
        command.ref,
        command,
        executor.LocalState.WAITING,
        received_at=now,
        sequence=state.sequence,
    )
    return []
