"""Performs the effects of the scheduler and the executor of jobs."""

import datetime
import threading
from collections.abc import Callable, Mapping
from typing import Any

from gypsumhold.adapters import engine
from gypsumhold.adapters.jobs import decision_log, interfaces, peers
from gypsumhold.model import clock as clocks
from gypsumhold.model import effects as base_effects
from gypsumhold.model import events as base_events
from gypsumhold.model.jobs import effects, events

FEED_WAIT = datetime.timedelta(seconds=3)
"""How long a read waits for changes.

It also bounds how long a broken connection stays unnoticed.
"""

CONFIG_WAIT = datetime.timedelta(seconds=1)
"""How long a read waits for a new configuration.

Shorter than `FEED_WAIT`: a new configuration has to be in force within two
seconds, even if the connection of the read is broken.
"""

Handler = Callable[[Any], base_events.Event | None]


def _wait(duration: datetime.timedelta) -> None:
    if duration:
        threading.Event().wait(duration.total_seconds())


def _ignore_measurement(
    _: effects.MeasureWait | effects.SampleWaits | effects.MeasureNearWait,
) -> None:
    """Does nothing: the observer of the engine has recorded the effect."""


class _DispatchingRunner(engine.Runner):
    """Performs each effect with the handler of its type."""

    def __init__(
        self, log: decision_log.DecisionLog, handlers: Mapping[type, Handler]
    ) -> None:
        self._handlers: dict[type, Handler] = {
            effects.Log: log.write,
            effects.MeasureWait: _ignore_measurement,
            effects.SampleWaits: _ignore_measurement,
            effects.MeasureNearWait: _ignore_measurement,
            **handlers,
        }

    def run(self, effect: base_effects.Effect) -> base_events.Event | None:
        """Performs `effect` and returns the event that reports its result."""
        return self._handlers[type(effect)](effect)


class SchedulerRunner(_DispatchingRunner):
    """Performs the effects of the scheduler in an entry."""

    def __init__(
        self,
        store: interfaces.JobStore,
        directory: interfaces.WorkerDirectory,
        client: peers.JobClient,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
    ) -> None:
        """Creates a runner.

        Args:
            store: Store of the jobs.
            directory: The platform's list of workers.
            client: Client for calls to agents and other entries.
            clock: Clock that gives the time of reads.
            log: Log of the decisions.
        """
        super().__init__(
            log,
            {
                effects.FollowConfig: self._follow_config,
                effects.ReadEvacuations: self._read_evacuations,
                effects.ListWorkers: self._list_workers,
                effects.WriteJob: self._write_job,
                effects.ReadJob: self._read_job,
                effects.WriteCancel: self._write_cancel,
                effects.ForwardQuery: self._forward_query,
                effects.NotifyHolder: self._notify_holder,
                effects.ReadHolder: self._read_holder,
                effects.TakeQueue: self._take_queue,
                effects.RegisterEntry: self._register_entry,
                effects.LoadJobs: self._load_jobs,
                effects.DeleteSubmissions: self._delete_submissions,
                effects.FollowJobs: self._follow_jobs,
                effects.CommitBatch: self._commit_batch,
                effects.PushDirectives: self._push_directives,
            },
        )
        self._store = store
        self._directory = directory
        self._client = client
        self._clock = clock

    def _read_wall_ms(self) -> int:
        return int(self._clock.read_wall().timestamp() * 1000)

    def _follow_config(self, effect: effects.FollowConfig) -> events.Event:
        _wait(effect.delay)
        return self._store.follow_config(effect.after, CONFIG_WAIT)

    def _read_evacuations(
        self, effect: effects.ReadEvacuations
    ) -> events.Event:
        _wait(effect.delay)
        changes = self._store.read_evacuations()
        return events.EvacuationsRead(effect.term, effect.asked_at, changes)

    def _list_workers(self, effect: effects.ListWorkers) -> events.Event:
        up = self._directory.list_up()
        return events.WorkersListed(effect.term, effect.asked_at, up)

    def _write_job(self, effect: effects.WriteJob) -> events.Event:
        _wait(effect.delay)
        return events.JobWritten(
            effect.owner, self._store.write_job(effect.spec)
        )

    def _read_job(self, effect: effects.ReadJob) -> events.Event:
        return events.JobRead(effect.owner, self._store.read_job(effect.job_id))

    def _write_cancel(self, effect: effects.WriteCancel) -> events.Event:
        _wait(effect.delay)
        return events.CancelWritten(
            effect.owner, self._store.write_cancel(effect.job_id)
        )

    def _forward_query(self, effect: effects.ForwardQuery) -> events.Event:
        answer = self._client.send_query(effect.address, effect.query)
        return events.QueryAnswered(effect.owner, answer)

    def _notify_holder(self, effect: effects.NotifyHolder) -> events.Event:
        answer = self._client.send_query(effect.address, effect.query)
        return events.HolderNotified(effect.address, answer)

    def _read_holder(self, _effect: effects.ReadHolder) -> events.Event:
        return events.HolderRead(self._store.read_holder())

    def _take_queue(self, effect: effects.TakeQueue) -> events.Event:
        return events.QueueTaken(
            self._store.take_queue(effect.expected, effect.holder, effect.entry)
        )

    def _register_entry(self, effect: effects.RegisterEntry) -> events.Event:
        return events.EntryRegistered(self._store.register(effect.record))

    def _load_jobs(self, effect: effects.LoadJobs) -> events.Event:
        _wait(effect.delay)
        loaded = self._store.load_jobs()
        return events.JobsLoaded(effect.term, loaded, self._read_wall_ms())

    def _delete_submissions(
        self, effect: effects.DeleteSubmissions
    ) -> events.Event:
        result = self._store.delete_submissions(effect.job_ids)
        return events.SubmissionsDeleted(effect.term, effect.job_ids, result)

    def _follow_jobs(self, effect: effects.FollowJobs) -> events.Event:
        _wait(effect.delay)
        changes = self._store.follow_jobs(effect.after, FEED_WAIT)
        return events.JobsChanged(effect.term, changes, self._read_wall_ms())

    def _commit_batch(self, effect: effects.CommitBatch) -> events.Event:
        _wait(effect.delay)
        holder = effect.batch.holder
        write = self._store.commit(effect.batch)
        return events.BatchCommitted(holder.term, holder.batch, write)

    def _push_directives(self, effect: effects.PushDirectives) -> events.Event:
        confirmed = self._client.send_directives(
            effect.address, effect.directives
        )
        return events.DirectivesPushed(effect.instance, confirmed)


class ExecutorRunner(_DispatchingRunner):
    """Performs the effects of the executor in an agent."""

    def __init__(
        self,
        store: interfaces.JobStore,
        worker: interfaces.JobWorker,
        client: peers.JobClient,
        clock: clocks.Clock,
        log: decision_log.DecisionLog,
    ) -> None:
        """Creates a runner.

        Args:
            store: Store of the jobs, from which the entries are read.
            worker: Client of the local worker.
            client: Client for calls to the holder.
            clock: Clock that gives the time at which reports are sent.
            log: Log of the decisions.
        """
        super().__init__(
            log,
            {
                effects.FollowEntries: self._follow_entries,
                effects.SendReport: self._send_report,
                effects.PollWorker: self._poll_worker,
                effects.StartRun: worker.command,
                effects.StopRun: worker.command,
                effects.ThrottleRun: worker.command,
            },
        )
        self._store = store
        self._worker = worker
        self._client = client
        self._clock = clock

    def _follow_entries(self, effect: effects.FollowEntries) -> events.Event:
        _wait(effect.delay)
        return events.EntriesChanged(
            self._store.follow_entries(effect.after, FEED_WAIT)
        )

    def _send_report(self, effect: effects.SendReport) -> events.Event:
        sent_at = self._clock.read_monotonic()
        directives = self._client.send_report(effect.address, effect.report)
        return events.ReportAnswered(
            effect.address, effect.report.sequence, sent_at, directives
        )

    def _poll_worker(self, effect: effects.PollWorker) -> events.Event:
        _wait(effect.delay)
        return self._worker.poll(effect)
