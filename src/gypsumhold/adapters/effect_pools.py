"""Bounded thread pools that run the effects that no owner waits for.

The module `engine` explains owners. Each effect is queued in a lane. The
effects of one lane run in order, one at a time, so that a slow peer occupies
one thread at most and the commands for one task keep their order.
"""

import collections
import dataclasses
import enum
import threading
from collections.abc import Callable, Hashable
from typing import Any

from gypsumhold.model import effects
from gypsumhold.model.jobs import effects as job_effects


class PoolKind(enum.Enum):
    """Kinds of thread pools, by the effects that they run.

    Each pool has its own threads, so that slow effects of one kind do not
    delay those of another.
    """

    TABLE = "table"
    PEERS = "peers"
    WORKER = "worker"
    LOCAL = "local"
    LONG_POLL = "feed"
    """Reads that wait for changes; each occupies one thread."""


# Default number of threads of each pool. TABLE has one thread for each of the
# 16 default partitions, whose batches are committed concurrently. In PEERS,
# each unreachable peer of a lost data centre holds a thread until its timeout.
THREADS = {
    PoolKind.TABLE: 16,
    PoolKind.PEERS: 16,
    PoolKind.WORKER: 4,
    PoolKind.LOCAL: 2,
}

# Numbers of threads for the entry that schedules jobs and for the agent that
# runs them.
SCHEDULER_THREADS = {
    PoolKind.TABLE: 4,
    PoolKind.PEERS: 16,
    PoolKind.LOCAL: 1,
    PoolKind.LONG_POLL: 2,
}
EXECUTOR_THREADS = {
    PoolKind.PEERS: 3,
    PoolKind.WORKER: 6,
    PoolKind.LOCAL: 1,
    PoolKind.LONG_POLL: 2,
}

# Limit of the effects that are queued in one pool: about 2.5 s of work for 16
# threads at 10 ms an effect.
MAX_QUEUED_EFFECTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Lane:
    """The pool and the queue in which an effect runs.

    Attributes:
        pool: Pool that runs the effect.
        key: Key of the queue; effects with the same key run in order, one at a
            time.
        coalesce: Whether a newer effect replaces the last one that is queued
            under the key. Periodic effects set it, so that at most one of
            them is queued per key.
    """

    pool: PoolKind
    key: Hashable
    coalesce: bool = False


def choose_lane(effect: effects.Effect) -> Lane:
    """Returns the lane of an effect that no owner waits for.

    Effects of types that are not in `_LANES` are calls to peers. They run in
    order with the other such effects of their owner.
    """
    chooser = _LANES.get(type(effect))
    if chooser is None:
        return Lane(PoolKind.PEERS, effect.owner)
    return chooser(effect)


def _choose_read_lane(effect: effects.ReadRows) -> Lane:
    """Returns the lane of a read.

    Reads of the same rows for the same purpose are coalesced, unless they
    belong to an owner.
    """
    if effect.owner:
        return Lane(PoolKind.TABLE, effect.owner)
    key = (effect.purpose.kind, effect.prefix, effect.after)
    return Lane(PoolKind.TABLE, key, True)


_LANES: dict[type, Callable[[Any], Lane]] = {
    effects.Commit: lambda effect: Lane(
        PoolKind.TABLE, effect.owner or effect.transaction.operation
    ),
    effects.ReadRows: _choose_read_lane,
    effects.StoreObject: lambda effect: Lane(PoolKind.TABLE, effect.owner),
    effects.LoadObject: lambda effect: Lane(PoolKind.TABLE, effect.owner),
    effects.SendStarts: lambda effect: Lane(PoolKind.PEERS, effect.instance),
    effects.SendSync: lambda effect: Lane(PoolKind.PEERS, effect.instance),
    effects.PushConfig: lambda effect: Lane(
        PoolKind.PEERS, ("config", effect.instance), True
    ),
    effects.PushChanges: lambda effect: Lane(
        PoolKind.PEERS, ("config", effect.instance), True
    ),
    effects.ReadPeerConfig: lambda effect: Lane(
        PoolKind.PEERS, effect.address, True
    ),
    effects.CommandWorker: lambda effect: Lane(PoolKind.WORKER, effect.task_id),
    effects.ReadWorker: lambda effect: Lane(PoolKind.WORKER, "read", True),
    effects.Announce: lambda effect: Lane(
        PoolKind.LOCAL, ("announce", effect.all_regions), True
    ),
    effects.LogMessage: lambda effect: Lane(PoolKind.LOCAL, "note"),
    job_effects.FollowConfig: lambda effect: Lane(PoolKind.LONG_POLL, "config"),
    job_effects.ReadEvacuations: lambda effect: Lane(
        PoolKind.TABLE, "evacuations"
    ),
    job_effects.ListWorkers: lambda effect: Lane(
        PoolKind.PEERS, "workers", True
    ),
    job_effects.FollowJobs: lambda effect: Lane(PoolKind.LONG_POLL, "jobs"),
    job_effects.FollowEntries: lambda effect: Lane(
        PoolKind.LONG_POLL, "entries"
    ),
    job_effects.PollWorker: lambda effect: Lane(PoolKind.LONG_POLL, "look"),
    job_effects.ReadHolder: lambda effect: Lane(PoolKind.TABLE, "holder"),
    job_effects.TakeQueue: lambda effect: Lane(PoolKind.TABLE, "holder"),
    job_effects.RegisterEntry: lambda effect: Lane(PoolKind.TABLE, "register"),
    job_effects.LoadJobs: lambda effect: Lane(PoolKind.TABLE, "load"),
    job_effects.DeleteSubmissions: lambda effect: Lane(
        PoolKind.TABLE, "remove"
    ),
    job_effects.CommitBatch: lambda effect: Lane(PoolKind.TABLE, "batch"),
    job_effects.NotifyHolder: lambda effect: Lane(
        PoolKind.PEERS, ("tell", effect.address, effect.query.job_id)
    ),
    job_effects.PushDirectives: lambda effect: Lane(
        PoolKind.PEERS, ("push", effect.instance)
    ),
    job_effects.SendReport: lambda effect: Lane(
        PoolKind.PEERS, ("report", effect.address)
    ),
    job_effects.StartRun: lambda effect: Lane(
        PoolKind.WORKER, effect.command.ref.task
    ),
    job_effects.StopRun: lambda effect: Lane(PoolKind.WORKER, effect.ref.task),
    job_effects.ThrottleRun: lambda effect: Lane(
        PoolKind.WORKER, effect.ref.task
    ),
}


class EffectPool:
    """Runs the effects of its lanes in a fixed number of threads."""

    def __init__(
        self,
        name: str,
        threads: int,
        run: Callable[[effects.Effect], None],
        limit: int = MAX_QUEUED_EFFECTS,
    ) -> None:
        """Starts the threads.

        Args:
            name: Prefix of the thread names.
            threads: Number of threads.
            run: Runs one effect; must not raise.
            limit: Maximum number of queued effects.
        """
        self._run = run
        self._limit = limit
        self._condition = threading.Condition()
        self._lanes: dict[Hashable, collections.deque[effects.Effect]] = {}
        self._ready: collections.deque[Hashable] = collections.deque()
        self._queued_count = 0
        self._closing = False
        self._threads = [
            threading.Thread(
                target=self._work, name=f"{name}-{number}", daemon=True
            )
            for number in range(threads)
        ]
        for thread in self._threads:
            thread.start()

    def submit(self, lane: Lane, effect: effects.Effect) -> bool:
        """Queues an effect.

        Returns:
            False if the pool is full or closing; the effect does not run then.
        """
        with self._condition:
            if self._closing:
                return False
            queued = self._lanes.get(lane.key)
            if lane.coalesce and queued:
                queued[-1] = effect
                return True
            if self._queued_count >= self._limit:
                return False
            self._append(lane.key, effect)
            return True

    def _append(self, key: Hashable, effect: effects.Effect) -> None:
        """Adds an effect to its lane; called with the condition held."""
        self._queued_count += 1
        if key in self._lanes:
            # A thread runs an effect of this lane, or the lane is in _ready.
            self._lanes[key].append(effect)
            return
        self._lanes[key] = collections.deque((effect,))
        self._ready.append(key)
        self._condition.notify()

    def _work(self) -> None:
        """Runs effects until the pool closes and no lane is ready."""
        while True:
            with self._condition:
                while not self._ready and not self._closing:
                    self._condition.wait()
                if not self._ready:
                    return
                key = self._ready.popleft()
                effect = self._lanes[key].popleft()
                self._queued_count -= 1
            self._run(effect)
            self._release(key)

    def _release(self, key: Hashable) -> None:
        """Makes the next effect of a lane ready, or removes the empty lane."""
        with self._condition:
            if self._lanes[key]:
                self._ready.append(key)
                self._condition.notify()
            else:
                del self._lanes[key]

    def close(self, timeout: float) -> None:
        """Rejects new effects, runs the queued ones and ends the threads.

        Args:
            timeout: Longest wait for each thread, in seconds.
        """
        with self._condition:
            self._closing = True
            self._condition.notify_all()
        for thread in self._threads:
            thread.join(timeout)
