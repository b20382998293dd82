"""Balance of partitions between entries.

An entry that holds fewer partitions than its share writes a handover request
next to the partition rows, so that the regular read of those rows returns it to
every entry. Holders above their share then release partitions. A request that
is not rewritten within a partition lease has expired.
"""

import datetime

from gypsumhold.model import effects, entry, ids, rows, states

RELEASES_PER_READ = 4
"""Maximum number of partitions that are released after one read of the rows.

Submissions to a partition fail while it has no holder, so only a few are moved
at a time.
"""

REWRITES_PER_LEASE = 3
"""Writes of a handover request per partition lease; two of them may fail."""

_OWN_PHASES = (
    states.PartitionPhase.TAKING,
    states.PartitionPhase.LOADING,
    states.PartitionPhase.HELD,
)


def record_handover_requests(
    state: entry.EntryState,
    read_rows: tuple[rows.Row, ...],
    sent_at: datetime.timedelta,
) -> None:
    """Records the versions of the handover requests that were read.

    A request that is read for the first time may be left over from an entry
    that has died, so it counts as expired until its row changes.
    """
    lease = state.options.partition_lease
    for row in read_rows:
        if not isinstance(row.value, rows.HandoverRequestRow):
            continue
        requester = row.value.entry
        previous = state.handover_requests.get(requester)
        if previous is None:
            state.handover_requests[requester] = (row.version, sent_at - lease)
        elif previous[0] != row.version:
            state.handover_requests[requester] = (row.version, sent_at)


def _list_requesting_entries(
    state: entry.EntryState, now: datetime.timedelta
) -> set[ids.EntryId]:
    """Returns the other entries whose handover request has not expired."""
    lease = state.options.partition_lease
    return {
        requester
        for requester, (_, since) in state.handover_requests.items()
        if now - since < lease and requester != state.options.entry
    }


def count_own_partitions(state: entry.EntryState) -> int:
    """Returns how many partitions this entry holds or is taking over."""
    return sum(item.phase in _OWN_PHASES for item in state.partitions.values())


def _count_entries(state: entry.EntryState, now: datetime.timedelta) -> int:
    """Returns the number of entries that hold or request partitions.

    This entry is always counted.
    """
    lease = state.options.partition_lease
    holders = {
        partition.row.holder
        for partition in state.partitions.values()
        if partition.row is not None
        and partition.row.holder is not None
        # A holder that has stopped writing has died and needs no share.
        and now - (partition.unchanged_since or now) < lease
    }
    self_entry = {state.options.entry}
    return len(holders | _list_requesting_entries(state, now) | self_entry)


def compute_share(state: entry.EntryState, now: datetime.timedelta) -> int:
    """Returns how many partitions this entry may hold, rounded up."""
    return -(-state.options.partitions // _count_entries(state, now))


def request_handover(
    state: entry.EntryState, now: datetime.timedelta
) -> list[effects.Effect]:
    """Writes a handover request if this entry holds less than its share.

    The share is rounded down here, so that a remainder causes no moves.
    """
    share = state.options.partitions // _count_entries(state, now)
    if state.stopping or count_own_partitions(state) >= share:
        return []
    interval = state.options.partition_lease / REWRITES_PER_LEASE
    if (
        state.handover_requested_at is not entry.NEVER
        and now < state.handover_requested_at + interval
    ):
        return []
    state.handover_requested_at = now
    key = rows.build_handover_request_key(state.options.entry)
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
    """Returns the partitions to release now, if another entry requests some."""
    if not _list_requesting_entries(state, now):
        return []
    held = [
        item
        for item in state.partitions.values()
        if item.phase is states.PartitionPhase.HELD
    ]
    kept = [item for item in held if not item.releasing]
    excess = len(kept) - compute_share(state, now)
    return kept[: max(0, min(excess, RELEASES_PER_READ))]
