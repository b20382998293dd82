"""Performs the effects of an entry."""

import datetime

from returns.result import Success

from gypsumhold.adapters import effect_runners, peers, store, task_codec
from gypsumhold.decisions import dispatches
from gypsumhold.model import effects, events, ids

CANCEL_TIMEOUT = datetime.timedelta(seconds=2)
"""Timeout of a cancel; a request waits for it even after its deadline."""


class EntryRunner(effect_runners.DispatchingRunner):
    """Performs the effects of an entry."""

    def __init__(
        self,
        table: store.Table,
        objects: store.ObjectStore,
        agents: peers.AgentClient,
        entries: peers.EntryClient,
    ) -> None:
        """Creates the runner.

        Args:
            table: The table service of the platform.
            objects: The object store of the platform.
            agents: Client for the agents.
            entries: Client for the other entries.
        """
        super().__init__(
            {
                effects.SendDispatch: self._dispatch,
                effects.SendCancel: self._cancel,
                effects.Commit: self._commit,
                effects.ReadRows: self._read_rows,
                effects.StoreObject: self._store_object,
                effects.LoadObject: self._load_object,
                effects.ForwardSubmission: self._forward_submission,
                effects.ForwardCancel: self._forward_cancel,
                effects.SendStarts: self._start_tasks,
                effects.SendSync: self._sync_tasks,
                effects.PushConfig: self._push_config,
                effects.PushChanges: self._push_changes,
                effects.ReadPeerConfig: self._read_config,
            }
        )
        self._table = table
        self._objects = objects
        self._agents = agents
        self._entries = entries

    def _dispatch(self, effect: effects.SendDispatch) -> events.Event:
        return self._agents.dispatch(
            effect.address,
            effect.dispatch,
            effect.dispatch.remaining + dispatches.DISPATCH_GRACE,
        )

    def _cancel(self, effect: effects.SendCancel) -> events.Event:
        reply = self._agents.cancel(
            effect.address, effect.cancel, CANCEL_TIMEOUT
        )
        return events.CancelAnswered(effect.owner, effect.cancel, reply)

    def _commit(self, effect: effects.Commit) -> events.Event:
        return events.CommitAnswered(
            effect.transaction.operation,
            self._table.commit(effect.transaction),
        )

    def _read_rows(self, effect: effects.ReadRows) -> events.Event:
        read_rows = self._table.read_rows(effect.prefix, effect.after)
        return events.RowsRead(effect.purpose, read_rows)

    def _store_object(self, effect: effects.StoreObject) -> events.Event:
        stored = self._objects.put(effect.name, effect.body)
        return events.ObjectStored(effect.owner, isinstance(stored, Success))

    def _load_object(self, effect: effects.LoadObject) -> events.Event:
        loaded = self._objects.get(effect.name)
        body = loaded.unwrap() if isinstance(loaded, Success) else None
        return events.ObjectLoaded(effect.owner, body)

    def _forward_submission(
        self, effect: effects.ForwardSubmission
    ) -> events.Event:
        reply = self._entries.submit(effect.address, effect.submission)
        return _build_forward_answer(effect.owner, reply)

    def _forward_cancel(self, effect: effects.ForwardCancel) -> events.Event:
        cancel = task_codec.TaskCancel(effect.organisation, effect.task_id)
        reply = self._entries.cancel_task(effect.address, cancel)
        return _build_forward_answer(effect.owner, reply)

    def _start_tasks(self, effect: effects.SendStarts) -> events.Event:
        accepted = self._agents.start_tasks(effect.address, effect.starts)
        return events.StartsAnswered(effect.instance, effect.starts, accepted)

    def _sync_tasks(self, effect: effects.SendSync) -> events.Event:
        reply = self._agents.sync_tasks(effect.address, effect.sync)
        return events.SyncAnswered(effect.instance, effect.sync, reply)

    def _push_config(self, effect: effects.PushConfig) -> events.Event:
        version = self._agents.push_config(effect.address, effect.configuration)
        return events.ConfigPushAnswered(effect.instance, version)

    def _push_changes(self, effect: effects.PushChanges) -> events.Event:
        version = self._agents.push_changes(effect.address, effect.changes)
        return events.ConfigPushAnswered(effect.instance, version)

    def _read_config(self, effect: effects.ReadPeerConfig) -> events.Event:
        return events.PeerConfigRead(self._agents.read_config(effect.address))


def _build_forward_answer(
    ticket: ids.TicketId, reply: task_codec.SubmissionReply | None
) -> events.ForwardAnswered:
    """Returns the event for a reply of another entry; None if none came."""
    if reply is None:
        return events.ForwardAnswered(ticket, None)
    return events.ForwardAnswered(
        ticket, reply.result, reply.detail, reply.task_id
    )
