"""Balance of the partitions over the live entries."""

import datetime
import random

import pytest

from gypsumhold.decisions import partitions, policy_sets, reducer
from gypsumhold.model import (
    effects,
    entry,
    events,
    ids,
    members,
    options,
    rows,
    states,
    timers,
)

SECOND = datetime.timedelta(seconds=1)
OTHER = rows.PartitionRow(
    ids.EntryId("other"),
    ids.Incarnation(1),
    members.Address("127.0.0.1", 2),
    ids.Epoch(1),
    0,
)


def build_entry() -> entry.EntryState:
    state = entry.EntryState(
        options.EntryOptions(
            *(ids.EntryId("e"), ids.Incarnation(1)),
            *(members.Address("127.0.0.1", 1), ids.DataCentre("d")),
            ids.Region("r"),
            partitions=4,
        ),
        policy_sets.build_entry_policies(states.PolicyChoice.STANDARD),
        random.Random(1),
    )
    partitions.start_partitions(state, SECOND)
    return state


def read_other_entry(
    state: entry.EntryState, version: int, second: int, request_version: int = 0
) -> list[effects.Commit]:
    """Feeds an entry the partition rows of another entry.

    Args:
        state: State of the entry that reads.
        version: Version of the partition rows; an unchanged version means that
            the other entry has not renewed its lease.
        second: Time of the read, in seconds.
        request_version: Version of the other entry's handover request; 0 if it
            has made none.

    Returns:
        The commits that the entry emits.
    """
    read_rows = [
        rows.Row(
            rows.build_partition_key(ids.Partition(number)),
            ids.RowVersion(version),
            ids.OperationId("o"),
            OTHER,
        )
        for number in range(4)
        if state.partitions[ids.Partition(number)].phase
        is states.PartitionPhase.OBSERVED
    ]
    if request_version:
        read_rows.append(
            rows.Row(
                rows.build_handover_request_key(ids.EntryId("other")),
                ids.RowVersion(request_version),
                ids.OperationId("o"),
                rows.HandoverRequestRow(ids.EntryId("other")),
            )
        )
    read_at = second * SECOND
    purpose = events.ReadPurpose(timers.ReadKind.PARTITIONS, sent_at=read_at)
    emitted = reducer.reduce(
        state, events.RowsRead(purpose, tuple(read_rows)), read_at
    )
    return [item for item in emitted if isinstance(item, effects.Commit)]


def test_entry_below_its_share_requests_handover_only() -> None:
    """Guards against an entry that gets no partitions next to an older one."""
    state = build_entry()
    (commit,) = read_other_entry(state, 1, 1)
    assert isinstance(
        commit.transaction.writes[0].value, rows.HandoverRequestRow
    )


def test_all_partitions_of_a_dead_entry_are_taken() -> None:
    """Guards against counting a dead entry when the shares are computed."""
    state = build_entry()
    for second in range(1, 11):
        read_other_entry(state, 1, second)
    takeovers = read_other_entry(state, 1, 11)
    assert len(takeovers) == 4


@pytest.mark.parametrize(
    ("request_versions", "kept_count"), [((0, 0), 4), ((1, 2), 2), ((1, 1), 4)]
)
def test_holder_releases_its_excess_on_request(
    request_versions: tuple[int, int], kept_count: int
) -> None:
    """Guards against an entry that keeps all partitions.

    A request whose row version does not change is stale and ignored.
    """
    state = build_entry()
    for partition in state.partitions.values():
        partition.phase = states.PartitionPhase.HELD
        partition.row = OTHER
    for second, request_version in enumerate(request_versions, start=1):
        read_other_entry(state, 1, second, request_version)
    kept = [item for item in state.partitions.values() if not item.releasing]
    assert len(kept) == kept_count
