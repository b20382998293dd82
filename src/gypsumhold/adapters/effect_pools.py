"""Bounded thread pools that run effects without a waiting owner.

Effects are put on lanes. One lane runs one effect at a time, in order, so a
slow peer occupies one thread at most and the commands for one task stay in
order.
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
    """Effects that share a pool; a slow family does not delay another."""

    TABLE = "table"
    PEERS = "peers"
    WORKER = "worker"
    LOCAL = "local"
    FEED = "feed"
    """Reads that wait for changes, each in a thread of its own."""


# One thread for each of the 16 default partitions, whose batches overlap.
# Peers of a lost data centre each hold a thread until their timeout.
THREADS = {
    PoolKind.TABLE: 16,
    PoolKind.PEERS: 16,
    PoolKind.WORKER: 4,
    PoolKind.LOCAL: 2,
}

# Threads of an entry and of an agent for jobs.
SCHEDULER_THREADS = {
    PoolKind.TABLE: 4,
    PoolKind.PEERS: 16,
    PoolKind.LOCAL: 1,
    PoolKind.FEED: 2,
}
EXECUTOR_THREADS = {
    PoolKind.PEERS: 2,
    PoolKind.WORKER: 6,
    PoolKind.LOCAL: 1,
    PoolKind.FEED: 2,
}

# Waiting effects of one family; at 16 threads and 10 ms each, about 2.5 s.
MAX_WAITING = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Lane:
    """Where an effect is run.

    Attributes:
        family: Chooses the pool.
        key: Effects of one key run in order, one at a time.
        replace: Whether a waiting effect is replaced by a newer one, which
            keeps periodic effects to one waiting per key.
    """

    family: PoolKind
    key: Hashable
    replace: bool = False


def choose_lane(effect: effects.Effect) -> Lane:
    """Returns the lane of an effect that no owner runs."""
    chooser = _LANES.get(type(effect))
    if chooser is None:
        return Lane(PoolKind.PEERS, effect.owner)
    return chooser(effect)


def _choose_read_lane(effect: effects.ReadRows) -> Lane:
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
        PoolKind.LOCAL, ("announce", effect.everywhere), True
    ),
    effects.LogMessage: lambda effect: Lane(PoolKind.LOCAL, "note"),
    job_effects.Log: lambda effect: Lane(PoolKind.LOCAL, "note"),
    job_effects.FollowConfig: lambda effect: Lane(PoolKind.FEED, "config"),
    job_effects.FollowJobs: lambda effect: Lane(PoolKind.FEED, "jobs"),
    job_effects.FollowEntries: lambda effect: Lane(PoolKind.FEED, "entries"),
    job_effects.PollWorker: lambda effect: Lane(PoolKind.FEED, "look"),
    job_effects.ReadHolder: lambda effect: Lane(PoolKind.TABLE, "holder"),
    job_effects.TakeHolder: lambda effect: Lane(PoolKind.TABLE, "holder"),
    job_effects.RegisterEntry: lambda effect: Lane(PoolKind.TABLE, "register"),
    job_effects.LoadJobs: lambda effect: Lane(PoolKind.TABLE, "load"),
    job_effects.RemoveJobs: lambda effect: Lane(PoolKind.TABLE, "remove"),
    job_effects.CommitBatch: lambda effect: Lane(PoolKind.TABLE, "batch"),
    job_effects.TellHolder: lambda effect: Lane(
        PoolKind.PEERS, ("tell", effect.address, effect.query.job_id)
    ),
    job_effects.PushDirectives: lambda effect: Lane(
        PoolKind.PEERS, ("push", effect.instance)
    ),
    job_effects.SendReport: lambda effect: Lane(PoolKind.PEERS, "report"),
    job_effects.StartRun: lambda effect: Lane(
        PoolKind.WORKER, effect.command.ref.task
    ),
    job_effects.StopRun: lambda effect: Lane(PoolKind.WORKER, effect.ref.task),
    job_effects.ThrottleRun: lambda effect: Lane(
        PoolKind.WORKER, effect.ref.task
    ),
}


class EffectPool:
    """A fixed number of threads over a bounded set of lanes."""

    def __init__(
        self,
        name: str,
        threads: int,
        run: Callable[[effects.Effect], None],
        limit: int = MAX_WAITING,
    ) -> None:
        """Starts the threads.

        Args:
            name: Prefix of the names of the threads.
            threads: Number of threads.
            run: Runs one effect; does not raise.
            limit: Effects that may wait.
        """
        self._run = run
        self._limit = limit
        self._condition = threading.Condition()
        self._lanes: dict[Hashable, collections.deque[effects.Effect]] = {}
        self._ready: collections.deque[Hashable] = collections.deque()
        self._waiting = 0
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
        """Queues an effect; returns whether there was room for it."""
        with self._condition:
            if self._closing:
                return False
            waiting = self._lanes.get(lane.key)
            if lane.replace and waiting:
                waiting[-1] = effect
                return True
            if self._waiting >= self._limit:
                return False
            self._append(lane.key, effect)
            return True

    def _append(self, key: Hashable, effect: effects.Effect) -> None:
        self._waiting += 1
        if key in self._lanes:
            # A thread is busy with this lane, or it is in the ready queue.
            self._lanes[key].append(effect)
            return
        self._lanes[key] = collections.deque((effect,))
        self._ready.append(key)
        self._condition.notify()

    def _work(self) -> None:
        while True:
            with self._condition:
                while not self._ready and not self._closing:
                    self._condition.wait()
                if not self._ready:
                    return
                key = self._ready.popleft()
                effect = self._lanes[key].popleft()
                self._waiting -= 1
            self._run(effect)
            self._release(key)

    def _release(self, key: Hashable) -> None:
        with self._condition:
            if self._lanes[key]:
                self._ready.append(key)
                self._condition.notify()
            else:
                del self._lanes[key]

    def close(self, timeout: float) -> None:
        """Refuses new effects, runs those that wait and ends the threads.

        Args:
            timeout: Longest wait for each thread, in seconds.
        """
        with self._condition:
            self._closing = True
            self._condition.notify_all()
        for thread in self._threads:
            thread.join(timeout)
