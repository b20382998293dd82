"""Builds the state of processes for tests that need no world."""

import datetime
import random

from gypsumhold.decisions.jobs import policy_sets
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    messages,
    runs,
    scheduler,
    scheduler_options,
    specs,
)


def build_holder(now: datetime.timedelta) -> scheduler.SchedulerState:
    """Returns a scheduler that holds the queue since `now`, without jobs."""
    state = scheduler.SchedulerState(
        scheduler_options.SchedulerOptions(
            "entry", ids.Incarnation(1), messages.Endpoint("10.0.0.1", 1000)
        ),
        policy_sets.build_scheduler_policies(),
        rng=random.Random(1),
    )
    state.role = scheduler.Role.HOLDER
    state.holder_state = scheduler.HolderState(
        ids.Epoch(1), ids.RowVersion(1), now, now
    )
    return state


def build_worker(
    incarnation: runs.WorkerIncarnation, sequence: int = 0
) -> runs.Worker:
    """Returns a ready worker of 8 cores, as its heartbeat describes it."""
    return runs.Worker(
        incarnation,
        specs.PoolName("pool"),
        "10.0.0.2:1",
        ids.DataCentre("zone"),
        runs.WorkerState.READY,
        8000,
        8000,
        0,
        sequence=sequence,
    )
