"""Performs the effects of an entry and of an agent."""

import datetime
from collections.abc import Callable, Mapping
from typing import Any

import logbook
from returns.result import Success

from gypsumhold.adapters import (
    datagrams,
    engine,
    peers,
    store,
    task_codec,
)
from gypsumhold.adapters import upstream as upstreams
from gypsumhold.adapters import worker as workers
from gypsumhold.decisions import dispatches
from gypsumhold.model import effects, events, ids, members

_LOG = logbook.Logger("gypsumhold.decisions")

CANCEL_TIMEOUT = datetime.timedelta(seconds=2)
"""Timeout of a cancel; a request waits for it even after its deadline."""

Handler = Callable[[Any], events.Event | None]


class _DispatchingRunner(engine.Runner):
    """Passes each effect to the handler that is registered for its type."""

    def __init__(self, handlers: Mapping[type, Handler]) -> None:
        self._handlers: dict[type, Handler] = {
            effects.LogMessage: self._write_log,
            **handlers,
        }

    def run(self, effect: effects.Effect) -> events.Event | None:
        """Performs `effect` and returns the resulting event, if any."""
        return self._handlers[type(effect)](effect)

    def _write_log(self, effect: effects.LogMessage) -> None:
        """Logs the message on the channel of decisions, with its subject."""
        _LOG.info("{}", effect.text, extra={"subject": effect.subject})


class EntryRunner(_DispatchingRunner):
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


class AgentRunner(_DispatchingRunner):
    """Performs the effects of an agent."""

    def __init__(
        self,
        upstream: upstreams.Upstream,
        worker: workers.Worker,
        sender: datagrams.Sender,
        near_entries: tuple[members.Address, ...],
        far_entries: tuple[members.Address, ...],
    ) -> None:
        """Creates the runner.

        Args:
            upstream: The upstream of the agent's instance.
            worker: The worker of the instance.
            sender: Sends announcements to the entries.
            near_entries: Addresses of entries in the agent's own region.
            far_entries: Addresses of entries in other regions, which get only
                the announcements for all regions.
        """
        super().__init__(
            {
                effects.CallUpstream: upstream.call,
                effects.CommandWorker: worker.command,
                effects.ReadWorker: self._read_worker,
                effects.Announce: self._announce,
            }
        )
        self._worker = worker
        self._sender = sender
        self._near_entries = near_entries
        self._far_entries = far_entries

    def _read_worker(self, effect: effects.ReadWorker) -> events.Event:
        return events.WorkerReported(self._worker.read_report(), effect.sent_at)

    def _announce(self, effect: effects.Announce) -> None:
        addresses = self._near_entries + (
            self._far_entries if effect.all_regions else ()
        )
        self._sender.send(effect.announcement, addresses)
