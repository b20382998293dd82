"""Runs the operations of the operator routes on an entry."""

import dataclasses
import datetime

from returns.result import Result

from gypsumhold.adapters import (
    engine,
    metrics,
    operator_calls,
    peers,
    store,
)
from gypsumhold.decisions import previews as preview_decisions
from gypsumhold.model import clock as clocks
from gypsumhold.model import (
    declarations,
    effects,
    entry,
    errors,
    events,
    ids,
    members,
    membership,
    previews,
    rows,
    states,
    status,
)

# After a failed call to the table, the status reports the table as unreachable
# for this many intervals of `config_poll`, unless the table answers a
# transaction sooner.
FAILURE_POLLS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _StateCopy:
    """State copied under the lock; the status is built from it afterwards."""

    entry: status.EntryStatus
    members: tuple[tuple[members.Announcement, datetime.timedelta], ...]
    partitions: tuple[status.PartitionStatus, ...]


class EntryControl(operator_calls.Control):
    """Runs the operations of operators on an entry."""

    def __init__(
        self,
        runtime: engine.Engine[entry.EntryState],
        table: store.Table,
        agents: peers.AgentClient,
        recorder: metrics.Recorder,
        clock: clocks.Clock,
    ) -> None:
        """Creates the operations of an entry.

        Args:
            runtime: Engine of the entry.
            table: Table of the platform.
            agents: Client for calls to agents.
            recorder: Metrics of the entry.
            clock: Clock of the entry.
        """
        self._runtime = runtime
        self._table = table
        self._agents = agents
        self._recorder = recorder
        self._clock = clock

    def apply(
        self, event: events.ApplyArrived, timeout: datetime.timedelta
    ) -> effects.AnswerTicket | None:
        """Applies a change and waits for its result.

        Returns:
            The answer to the event's ticket, or None if it takes longer than
            `timeout`; the change may still come into force then.
        """
        answer = self._runtime.run_owner(event.ticket, event, timeout)
        return answer if isinstance(answer, effects.AnswerTicket) else None

    def read_configuration(self) -> declarations.Configuration:
        """Returns the configuration in force in this entry."""
        return self._runtime.snapshot(lambda state: state.configuration)

    def read_status(self) -> status.Status:
        """Returns the status of the entry and of the members that it knows."""
        now = self._clock.read_monotonic()
        copy = self._runtime.snapshot(lambda state: _copy_state(state, now))
        instances = [
            _build_instance_status(announcement, now - received_at, copy.entry)
            for announcement, received_at in copy.members
        ]
        instances.sort(key=lambda item: item.name)
        return status.Status(copy.entry, tuple(instances), copy.partitions)

    def preview_request(
        self, organisation: ids.OrganisationId, kind: ids.KindName
    ) -> previews.RequestPreview:
        """Returns where a request would go now; sends nothing."""
        now = self._clock.read_monotonic()

        def preview(state: entry.EntryState) -> previews.RequestPreview:
            return preview_decisions.preview_request(
                state, organisation, kind, now
            )

        return self._runtime.snapshot(preview)

    def read_metrics(self) -> str:
        """Returns the metrics in the text format of Prometheus."""
        self._recorder.set_config_version(self.read_configuration().version)
        return self._recorder.render()

    def read_rows(self, prefix: str, after: str) -> tuple[rows.Row, ...] | None:
        """Reads the table rows that have `prefix` and follow the key `after`.

        Returns:
            The rows in key order, or None if the read failed.
        """
        return self._table.read_rows(prefix, after)

    def read_row(
        self, key: ids.RowKey
    ) -> Result[rows.Row | None, errors.Error]:
        """Reads one row of the table.

        Returns:
            The row, None if it does not exist, or an error.
        """
        return self._table.read_row(key)

    def find_agent(self, instance: ids.InstanceId) -> members.Address | None:
        """Returns the address of the agent of an instance, if it is known."""

        def find_member(state: entry.EntryState) -> membership.Member | None:
            return state.members.get(instance)

        member = self._runtime.snapshot(find_member)
        return None if member is None else member.address

    def drain(self, address: members.Address) -> bool:
        """Starts a drain and returns whether the agent confirmed it."""
        return self._agents.drain(address)

    def retire(self, instance: ids.InstanceId) -> None:
        """Removes an instance that has ended and requeues its tasks.

        The caller vouches that nothing runs on the instance any more.
        """
        self._runtime.dispatch(events.InstanceRetired(instance))


def _copy_state(state: entry.EntryState, now: datetime.timedelta) -> _StateCopy:
    """Copies the state that the status needs.

    With 5,000 members this takes well under 10 ms.
    """
    return _StateCopy(
        entry=_build_entry_status(state, now),
        members=tuple(
            (member.announcement, member.received_at)
            for member in state.members.values()
        ),
        partitions=tuple(
            _build_partition_status(partition)
            for partition in state.partitions.values()
        ),
    )


def _build_entry_status(
    state: entry.EntryState, now: datetime.timedelta
) -> status.EntryStatus:
    version = state.configuration.version
    failure_window = FAILURE_POLLS * state.options.config_poll
    return status.EntryStatus(
        name=state.options.entry,
        incarnation=state.options.incarnation,
        config_version=version,
        ready=version != declarations.NO_VERSION and not state.stopping,
        waiting=dict(state.waiting),
        partitions_held=sum(
            partition.phase is states.PartitionPhase.HELD
            for partition in state.partitions.values()
        ),
        # Without a failure, `table_failed_at` is the minimum of a timedelta,
        # from which nothing can be subtracted.
        table_reachable=state.table_failed_at < now - failure_window,
    )


def _build_partition_status(
    partition: entry.PartitionState,
) -> status.PartitionStatus:
    queued = sum(map(len, partition.queue.values()))
    return status.PartitionStatus(
        number=partition.number,
        phase=partition.phase,
        epoch=ids.Epoch(0) if partition.row is None else partition.row.epoch,
        queued=queued,
        assigned=len(partition.tasks) - queued,
    )


def _build_instance_status(
    announcement: members.Announcement,
    age: datetime.timedelta,
    entry_status: status.EntryStatus,
) -> status.InstanceStatus:
    return status.InstanceStatus(
        name=announcement.instance,
        state=announcement.state,
        data_centre=announcement.data_centre,
        rack=announcement.rack,
        incarnation=announcement.incarnation,
        config_version=announcement.config_version,
        lagging=announcement.config_version < entry_status.config_version,
        free_slots=announcement.free_slots,
        queued=announcement.queued,
        capacity=announcement.capacity,
        free=announcement.free,
        age=age,
    )
