"""Applies events to the state of one role and runs the effects.

The thread that brings an event applies it under one lock. Effects of a waiting
owner go to the owner's mailbox, timers to the timer thread, and the others to
bounded pools. A full pool does not queue: the effect is reported to the
reducer as lost and unsent after a pause. Nothing here polls.
"""

import abc
import datetime
import itertools
import queue
import threading
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

import logbook

from gypsumhold.adapters import effect_pools, failure_events, wakeups
from gypsumhold.model import clock as clocks
from gypsumhold.model import effects, events, requests
from gypsumhold.model.jobs import effects as job_effects

StateT = TypeVar("StateT")
ResultT = TypeVar("ResultT")
Owner = str | requests.AttemptKey
Mailbox = queue.SimpleQueue[effects.Effect]

FinalEffect = (
    effects.AnswerCall
    | effects.AnswerTicket
    | effects.ReplyDispatch
    | effects.ReplyCancel
    | effects.ReplyStarts
    | effects.ReplySync
    | effects.ReplyConfig
    | job_effects.FinalEffect
)

# Work for a caller who is gone is not begun; its loss proves that it did not
# run.
_NOT_BEGUN_ALONE = (
    effects.SendDispatch,
    effects.CallUpstream,
    effects.ForwardSubmission,
    effects.ForwardCancel,
    job_effects.WriteJob,
    job_effects.ReadJob,
    job_effects.WriteCancel,
    job_effects.ForwardQuery,
)

# Keeps a reducer that retries a refused effect from filling a pool again at
# once.
REFUSAL_PAUSE = datetime.timedelta(milliseconds=200)
# Pause before a timer fires again whose handler failed.
FAULT_PAUSE = datetime.timedelta(seconds=1)
CLOSE_LIMIT_S = 5.0

_LOG = logbook.Logger("gypsumhold.engine")


class OwnerBusyError(Exception):
    """A thread already waits under this owner; the event was not applied."""


class Runner(abc.ABC):
    """Performs effects."""

    @abc.abstractmethod
    def run(self, effect: effects.Effect) -> events.Event | None:
        """Performs `effect` and returns what came of it.

        An exception stands for an effect that was begun and lost.
        """


class Observer(abc.ABC):
    """Sees each event with its effects, outside the lock."""

    @abc.abstractmethod
    def observe(self, event: events.Event, emitted: effects.Effects) -> None:
        """Takes note of an applied event; must be short and not raise."""


class Engine(Generic[StateT]):
    """Runs one role."""

    def __init__(
        self,
        state: StateT,
        reduce: Callable[
            [StateT, events.Event, datetime.timedelta], effects.Effects
        ],
        clock: clocks.Clock,
        runner: Runner,
        observer: Observer | None = None,
        *,
        threads: Mapping[effect_pools.PoolKind, int] = effect_pools.THREADS,
    ) -> None:
        """Starts the threads; the caller has to call `close`.

        Args:
            state: State of the role; only `reduce` changes it.
            reduce: The reducer.
            clock: Clock of the role.
            runner: Performs effects.
            observer: Sees events and effects, for metrics.
            threads: Threads that run effects without an owner.
        """
        self._state = state
        self._reduce = reduce
        self._clock = clock
        self._runner = runner
        self._observer = observer
        self._lock = threading.Lock()
        self._mailboxes: dict[Owner, Mailbox] = {}
        self._losses = itertools.count()
        self._dropped_answers = 0
        self._stopped = threading.Event()
        self._timers = wakeups.TimerThread(clock, self.deliver)
        self._pools = {
            family: effect_pools.EffectPool(family.value, number, self._execute)
            for family, number in threads.items()
        }

    def dispatch(self, event: events.Event) -> None:
        """Applies an event and routes its effects."""
        with self._lock:
            now = self._clock.read_monotonic()
            emitted = self._reduce(self._state, event, now)
            # Routed under the lock, so that effects of one owner keep the
            # order in which they were decided.
            for effect in emitted:
                self._route(effect)
        if self._observer is not None:
            self._observer.observe(event, emitted)

    def run_owner(
        self, owner: Owner, event: events.Event, limit: datetime.timedelta
    ) -> FinalEffect | None:
        """Applies an event and runs the owner's effects until the final one.

        Args:
            owner: Request, attempt or ticket that the event starts.
            event: The event.
            limit: Longest wait; the reducer's own timers should end earlier.

        Returns:
            The final effect, or None if none came within `limit`.

        Raises:
            OwnerBusyError: Another thread waits under `owner`.
        """
        mailbox: Mailbox = queue.SimpleQueue()
        with self._lock:
            if owner in self._mailboxes:
                raise OwnerBusyError(str(owner))
            self._mailboxes[owner] = mailbox
        try:
            self.dispatch(event)
            return self._run_until_final(mailbox, limit)
        finally:
            self._close_mailbox(owner)

    def snapshot(self, read: Callable[[StateT], ResultT]) -> ResultT:
        """Returns what a short function reads from the state."""
        with self._lock:
            return read(self._state)

    def count_dropped_answers(self) -> int:
        """Returns how many final effects came after their owner had left."""
        with self._lock:
            return self._dropped_answers

    def wait_stopped(self, limit: datetime.timedelta) -> bool:
        """Waits for the Stopped effect; returns whether it came."""
        return self._stopped.wait(limit.total_seconds())

    def close(self) -> None:
        """Ends the threads; effects that wait in a pool are still run."""
        self._timers.close(CLOSE_LIMIT_S)
        for pool in self._pools.values():
            pool.close(CLOSE_LIMIT_S)

    def _run_until_final(
        self, mailbox: Mailbox, limit: datetime.timedelta
    ) -> FinalEffect | None:
        end = self._clock.read_monotonic() + limit
        while True:
            remaining = (end - self._clock.read_monotonic()).total_seconds()
            try:
                effect = mailbox.get(timeout=max(0.0, remaining))
            except queue.Empty:
                return None
            if isinstance(effect, FinalEffect):
                return effect
            self._execute(effect)

    def _close_mailbox(self, owner: Owner) -> None:
        with self._lock:
            mailbox = self._mailboxes.pop(owner)
            while not mailbox.empty():
                self._route(mailbox.get_nowait())

    def _route(self, effect: effects.Effect) -> None:
        """Hands an effect to whoever runs it; called under the lock."""
        if isinstance(effect, effects.SetTimer):
            event = events.TimerFired(effect.timer)
            self._timers.set(effect.timer, effect.delay, event)
        elif isinstance(effect, effects.Stopped):
            self._stopped.set()
        elif effect.owner in self._mailboxes:
            self._mailboxes[effect.owner].put(effect)
        elif isinstance(effect, FinalEffect):
            self._dropped_answers += 1
        elif isinstance(effect, _NOT_BEGUN_ALONE):
            self._refuse(effect, datetime.timedelta(0))
        else:
            lane = effect_pools.choose_lane(effect)
            if not self._pools[lane.family].submit(lane, effect):
                self._refuse(effect, REFUSAL_PAUSE)

    def _refuse(
        self, effect: effects.Effect, pause: datetime.timedelta
    ) -> None:
        """Reports an effect as lost and not begun."""
        event = failure_events.build_failure_event(effect, started=False)
        if event is not None:
            self._timers.set(("loss", next(self._losses)), pause, event)

    def _execute(self, effect: effects.Effect) -> None:
        try:
            event = self._runner.run(effect)
        except Exception:
            _LOG.exception("effect {} failed", type(effect).__name__)
            event = failure_events.build_failure_event(effect, started=True)
        if event is not None:
            self.deliver(event)

    def deliver(self, event: events.Event) -> None:
        """Dispatches in a thread that has to survive a faulty reducer.

        The fault is logged. A timer fires again, since the handler that failed
        may be the one that sets it for the next time.
        """
        try:
            self.dispatch(event)
        except Exception:
            _LOG.exception("event {} failed", type(event).__name__)
            if isinstance(event, events.TimerFired):
                self._timers.set(event.timer, FAULT_PAUSE, event)
