"""Balance of partitions between entries.

An entry below its share writes a wish beside the partition rows, where every
entry sees it with the read that it makes anyway. Holders above their share then
give partitions up. A wish that is not rewritten within a partition lease no
longer counts.
"""

import datetime

from gypsumhold.model import effects, entry, ids, rows, states

RELEASES_PER_READ = 4
"""Partitions that are given up after one read of the rows, so that few
submissions meet a partition on the move."""

REWRITES_PER_LEASE = 3
"""Writes of a wish in a partition lease, so that two may fail."""

_OWN = (
    states.PartitionPhase.TAKING,
    states.PartitionPhase.LOADING,
    states.PartitionPhase.HELD,
)


def record_handover_requests(
    state: entry.EntryState,
    found: tuple[rows.Row, ...],
    sent_at: datetime.timedelta,
) -> None:
    """Notes which wishes have been rewritten.

    A row that is seen for the first time may be left from an entry that has
    died, so it counts only once it changes.
    """
    lease = state.options.partition_lease
    for row in found:
        if not isinstance(row.value, rows.HandoverRequestRow):
            continue
        name = row.value.entry
        known = state.handover_requests.get(name)
        if known is None:
            state.handover_requests[name] = (row.version, sent_at - lease)
        elif known[0] != row.version:
            state.handover_requests[name] = (row.version, sent_at)


def _list_requesting_entries(
    state: entry.EntryState, now: datetime.timedelta
) -> set[ids.EntryId]:
    lease = state.options.partition_lease
    return {
        name
        for name, (_, since) in state.handover_requests.items()
        if now - since < lease and name != state.options.entry
    }


def count_own_partitions(state: entry.EntryState) -> int:
    """Returns how many partitions this entry holds or is taking."""
    return sum(item.phase in _OWN for item in state.partitions.values())


def _count_entries(state: entry.EntryState, now: datetime.timedelta) -> int:
    lease = state.options.partition_lease
    holders = {
        partition.row.holder
        for partition in state.partitions.values()
        if partition.row is not None
        and partition.row.holder is not None
        # A holder that no longer writes has died; its share is free.
        and now - (partition.unchanged_since or now) < lease
    }
    own = {state.options.entry}
    return len(holders | _list_requesting_entries(state, now) | own)


def compute_share(state: entry.EntryState, now: datetime.timedelta) -> int:
    """Returns how many partitions this entry may hold, rounded up."""
    return -(-state.options.partitions // _count_entries(state, now))


def request_handover(
    state: entry.EntryState, now: datetime.timedelta
) -> list[effects.Effect]:
    """Writes a wish if this entry holds less than its share, rounded down."""
    share = state.options.partitions // _count_entries(state, now)
    if state.stopping or count_own_partitions(state) >= share:
        return []
    pause = state.options.partition_lease / REWRITES_PER_LEASE
    if (
        state.handover_requested_at is not entry.NEVER
        and now < state.handover_requested_at + pause
    ):
        return []
    state.handover_requested_at = now
    key = rows.name_handover_request_row(state.options.entry)
    transaction = rows.Transaction(
        operation=state.next_operation(),
        conditions=(),
        writes=(rows.Write(key, rows.HandoverRequestRow(state.options.entry)),),
    )
    state.operations[transaction.operation] = entry.Operation(
        states.OperationKind.HANDOVER_REQUEST, state.options.entry
    )
    return [effects.Commit(effects.NO_OWNER, transaction)]


def choose_partitions_to_release(
    state: entry.EntryState, now: datetime.timedelta
) -> list[entry.PartitionState]:
    """Returns partitions to give up now, if another entry wants some."""
    if not _list_requesting_entries(state, now):
        return []
    held = [
        item
        for item in state.partitions.values()
        if item.phase is states.PartitionPhase.HELD
    ]
    staying = [item for item in held if not item.releasing]
    excess = len(staying) - compute_share(state, now)
    return staying[: max(0, min(excess, RELEASES_PER_READ))]
