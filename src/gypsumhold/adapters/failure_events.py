"""Builds the events for effects that failed.

Most effects report success and failure with the same type of event; after a
failure it has no answer. A few have an event type for failures only. An effect
that had started may have been carried out although it failed. Where the reducer
has to know that, the event or its result tells whether the effect had started.
"""

import datetime
from collections.abc import Callable
from typing import Any

from gypsumhold.model import effects, events, rows, states
from gypsumhold.model.jobs import effects as job_effects
from gypsumhold.model.jobs import events as job_events
from gypsumhold.model.jobs import storage

NO_TIME = datetime.timedelta(0)

Builder = Callable[[Any, bool], events.Event]


def build_failure_event(
    effect: effects.Effect, started: bool
) -> events.Event | None:
    """Returns the event that reports the failure of `effect` to the reducer.

    Args:
        effect: The effect that failed.
        started: Whether it was started; if so, it may have been carried out.

    Returns:
        The event, or None if the effect does not result in an event.
    """
    builder = _BUILDERS.get(type(effect))
    return None if builder is None else builder(effect, started)


def _build_dispatch_failure(
    effect: effects.SendDispatch, started: bool
) -> events.DispatchFailed:
    dispatch = effect.dispatch
    return events.DispatchFailed(dispatch.request_id, dispatch.attempt, started)


def _build_commit_failure(
    effect: effects.Commit, started: bool
) -> events.CommitAnswered:
    result = (
        states.CommitResult.UNKNOWN
        if started
        else states.CommitResult.UNAVAILABLE
    )
    return events.CommitAnswered(
        effect.transaction.operation, rows.CommitAnswer(result)
    )


def _build_upstream_failure(
    effect: effects.CallUpstream, started: bool
) -> events.UpstreamCallFailed:
    reason = states.Reason.UPSTREAM_FAILED if started else states.Reason.EXPIRED
    return events.UpstreamCallFailed(effect.owner, started, reason)


def _build_worker_command_failure(
    effect: effects.CommandWorker, _started: bool
) -> events.WorkerAnswered:
    return events.WorkerAnswered(
        effect.task_id, effect.epoch, effect.action, None
    )


def _choose_write_result(started: bool) -> storage.WriteResult:
    """Returns the result of a failed write, unknown if it was started."""
    if started:
        return storage.WriteResult.UNKNOWN
    return storage.WriteResult.UNAVAILABLE


def _build_poll_failure(
    effect: job_effects.PollWorker, _started: bool
) -> job_events.WorkerPolled:
    return job_events.WorkerPolled(
        effect.worker.incarnation,
        effect.fence,
        job_events.CommandResult.UNANSWERED,
        until_ms=effect.until_ms,
        acknowledged=effect.acknowledged,
    )


def _build_start_failure(
    effect: job_effects.StartRun, started: bool
) -> job_events.CommandAnswered:
    result = job_events.CommandResult.NOT_SENT
    if started:
        result = job_events.CommandResult.UNANSWERED
    return job_events.CommandAnswered(
        effect.worker.incarnation,
        job_events.CommandKind.START,
        effect.command.ref,
        effect.fence,
        result,
        until_ms=effect.until_ms,
    )


def _build_run_command_failure(
    effect: job_effects.StopRun | job_effects.ThrottleRun, _started: bool
) -> job_events.CommandAnswered:
    is_stop = isinstance(effect, job_effects.StopRun)
    kind = (
        job_events.CommandKind.STOP
        if is_stop
        else job_events.CommandKind.THROTTLE
    )
    return job_events.CommandAnswered(
        effect.worker.incarnation,
        kind,
        effect.ref,
        effect.fence,
        job_events.CommandResult.UNANSWERED,
    )


_JOB_BUILDERS: dict[type, Builder] = {
    job_effects.FollowConfig: lambda effect, _: job_events.ConfigRead(
        None, effect.after, job_events.ReadResult.FAILED
    ),
    job_effects.ReadEvacuations: lambda effect, _: job_events.EvacuationsRead(
        effect.term, effect.asked_at, None
    ),
    job_effects.ListWorkers: lambda effect, _: job_events.WorkersListed(
        effect.term, effect.asked_at, None
    ),
    job_effects.WriteJob: lambda effect, started: job_events.JobWritten(
        effect.owner, _choose_write_result(started)
    ),
    job_effects.ReadJob: lambda effect, _: job_events.JobRead(
        effect.owner, None
    ),
    job_effects.WriteCancel: lambda effect, started: job_events.CancelWritten(
        effect.owner, _choose_write_result(started)
    ),
    job_effects.ForwardQuery: lambda effect, _: job_events.QueryAnswered(
        effect.owner, None
    ),
    job_effects.NotifyHolder: lambda effect, _: job_events.HolderNotified(
        effect.address, None
    ),
    job_effects.ReadHolder: lambda _, __: job_events.HolderRead(None),
    job_effects.TakeQueue: lambda _, started: job_events.QueueTaken(
        storage.HolderWrite(_choose_write_result(started))
    ),
    job_effects.RegisterEntry: lambda _, started: job_events.EntryRegistered(
        _choose_write_result(started)
    ),
    job_effects.LoadJobs: lambda effect, _: job_events.JobsLoaded(
        effect.term, None
    ),
    job_effects.DeleteSubmissions: lambda effect, started: (
        job_events.SubmissionsDeleted(
            effect.term, effect.job_ids, _choose_write_result(started)
        )
    ),
    job_effects.FollowJobs: lambda effect, _: job_events.JobsChanged(
        effect.term, None
    ),
    job_effects.CommitBatch: lambda effect, started: job_events.BatchCommitted(
        effect.batch.holder.term,
        effect.batch.holder.batch,
        storage.HolderWrite(_choose_write_result(started)),
    ),
    job_effects.PushDirectives: lambda effect, _: job_events.DirectivesPushed(
        effect.instance, False
    ),
    job_effects.FollowEntries: lambda _, __: job_events.EntriesChanged(None),
    job_effects.SendReport: lambda effect, _: job_events.ReportAnswered(
        effect.address, effect.report.sequence, NO_TIME, None
    ),
    job_effects.PollWorker: _build_poll_failure,
    job_effects.StartRun: _build_start_failure,
    job_effects.StopRun: _build_run_command_failure,
    job_effects.ThrottleRun: _build_run_command_failure,
}

_BUILDERS: dict[type, Builder] = {
    **_JOB_BUILDERS,
    effects.SendDispatch: _build_dispatch_failure,
    effects.SendCancel: lambda effect, _: events.CancelAnswered(
        effect.owner, effect.cancel, None
    ),
    effects.Commit: _build_commit_failure,
    effects.ReadRows: lambda effect, _: events.RowsRead(effect.purpose, None),
    effects.StoreObject: lambda effect, _: events.ObjectStored(
        effect.owner, False
    ),
    effects.LoadObject: lambda effect, _: events.ObjectLoaded(
        effect.owner, None
    ),
    effects.ForwardSubmission: lambda effect, _: events.ForwardAnswered(
        effect.owner, None
    ),
    effects.ForwardCancel: lambda effect, _: events.ForwardAnswered(
        effect.owner, None
    ),
    effects.SendStarts: lambda effect, _: events.StartsAnswered(
        effect.instance, effect.starts, None
    ),
    effects.SendSync: lambda effect, _: events.SyncAnswered(
        effect.instance, effect.sync, None
    ),
    effects.PushConfig: lambda effect, _: events.ConfigPushAnswered(
        effect.instance, None
    ),
    effects.PushChanges: lambda effect, _: events.ConfigPushAnswered(
        effect.instance, None
    ),
    effects.ReadPeerConfig: lambda effect, _: events.PeerConfigRead(None),
    effects.CallUpstream: _build_upstream_failure,
    effects.CommandWorker: _build_worker_command_failure,
    effects.ReadWorker: lambda effect, _: events.WorkerReported(
        None, effect.sent_at
    ),
}
