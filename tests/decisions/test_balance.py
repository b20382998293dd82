"""Partitions are spread over the entries that live."""

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


def read(
    state: entry.EntryState, version: int, second: int, wish: int = 0
) -> list[effects.Commit]:
    """Reads the rows of another entry, with its handover request if any."""
    found = [
        rows.Row(
            rows.name_partition_row(ids.Partition(number)),
            ids.RowVersion(version),
            ids.OperationId("o"),
            OTHER,
        )
        for number in range(4)
        if state.partitions[ids.Partition(number)].phase
        is states.PartitionPhase.OBSERVED
    ]
    if wish:
        found.append(
            rows.Row(
                rows.name_handover_request_row(ids.EntryId("other")),
                ids.RowVersion(wish),
                ids.OperationId("o"),
                rows.HandoverRequestRow(ids.EntryId("other")),
            )
        )
    at = second * SECOND
    purpose = events.ReadPurpose(timers.ReadKind.PARTITIONS, sent_at=at)
    made = reducer.reduce(state, events.RowsRead(purpose, tuple(found)), at)
    return [item for item in made if isinstance(item, effects.Commit)]


def test_entry_below_its_share_asks_and_takes_nothing() -> None:
    """Guards against an entry that never gets work beside an older one."""
    state = build_entry()
    (wish,) = read(state, 1, 1)
    assert isinstance(wish.transaction.writes[0].value, rows.HandoverRequestRow)


def test_partitions_of_a_dead_entry_are_all_taken() -> None:
    """Guards against counting a dead holder when shares are worked out."""
    state = build_entry()
    for second in range(1, 11):
        read(state, 1, second)
    taken = read(state, 1, 11)
    assert len(taken) == 4


@pytest.mark.parametrize(
    ("wishes", "left"), [((0, 0), 4), ((1, 2), 2), ((1, 1), 4)]
)
def test_holder_gives_up_what_another_wants(
    wishes: tuple[int, int], left: int
) -> None:
    """Guards against one entry that holds all, and against stale requests."""
    state = build_entry()
    for partition in state.partitions.values():
        partition.phase = states.PartitionPhase.HELD
        partition.row = OTHER
    for second, wish in enumerate(wishes, start=1):
        read(state, 1, second, wish)
    staying = [item for item in state.partitions.values() if not item.releasing]
    assert len(staying) == left
