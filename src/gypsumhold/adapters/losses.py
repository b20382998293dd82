"""Events that stand for an effect that failed or was never begun."""

from collections.abc import Callable
from typing import Any

from gypsumhold.model import effects, events, rows, states

Builder = Callable[[Any, bool], events.Event]


def build_loss(effect: effects.Effect, started: bool) -> events.Event | None:
    """Returns the event that tells the reducer that `effect` got no answer.

    Args:
        effect: The effect that failed.
        started: Whether it was begun; if so, it may have taken effect.

    Returns:
        The loss, or None for an effect that brings no event.
    """
    builder = _BUILDERS.get(type(effect))
    return None if builder is None else builder(effect, started)


def _lose_dispatch(
    effect: effects.SendDispatch, started: bool
) -> events.DispatchLost:
    dispatch = effect.dispatch
    return events.DispatchLost(dispatch.request_id, dispatch.attempt, started)


def _lose_commit(
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


def _lose_upstream(
    effect: effects.CallUpstream, started: bool
) -> events.UpstreamLost:
    reason = states.Reason.UPSTREAM_FAILED if started else states.Reason.EXPIRED
    return events.UpstreamLost(effect.owner, started, reason)


def _lose_command(
    effect: effects.CommandWorker, _started: bool
) -> events.WorkerAnswered:
    return events.WorkerAnswered(
        effect.task_id, effect.epoch, effect.action, None
    )


_BUILDERS: dict[type, Builder] = {
    effects.SendDispatch: _lose_dispatch,
    effects.SendCancel: lambda effect, _: events.CancelAnswered(
        effect.owner, effect.cancel, None
    ),
    effects.Commit: _lose_commit,
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
    effects.CallUpstream: _lose_upstream,
    effects.CommandWorker: _lose_command,
    effects.ReadWorker: lambda effect, _: events.WorkerReported(
        None, effect.sent_at
    ),
}
