"""Applies events to the state of one role and runs the resulting effects.

The thread that delivers an event applies it under a single lock. The owner of
an effect is the request, attempt or ticket that it belongs to. If a thread
waits for the owner in `run_owner`, the effect goes to its mailbox and runs in
that thread. A timer goes to the timer thread, an effect that never blocks runs
at once, and any other effect goes to a bounded thread pool. If the pool is
full, the effect is not run: after a delay, the reducer receives the event for
an effect that failed before it started. Every thread blocks while it waits;
none polls.
"""

import abc
import dataclasses
import datetime
import itertools
import queue
import threading
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

import logbook

from gypsumhold.adapters import effect_pools, failure_events, timer_thread
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

# Effects that run only while their owner waits. Without the owner they fail
# before they start, which proves to the reducer that they did not run.
_OWNER_REQUIRED = (
    effects.SendDispatch,
    effects.CallUpstream,
    effects.ForwardSubmission,
    effects.ForwardCancel,
    job_effects.WriteJob,
    job_effects.ReadJob,
    job_effects.WriteCancel,
    job_effects.ForwardQuery,
)

# Effects that never block, such as queueing a line of the log. The thread that
# applied their event runs them, which costs less than a change of threads.
_IMMEDIATE = (
    job_effects.Log,
    job_effects.MeasureWait,
    job_effects.SampleWaits,
    job_effects.MeasureNearWait,
)

# Delay of the failure event for an effect that a full pool rejected. It keeps
# a reducer that retries the effect from filling the pool again at once.
REJECTION_DELAY = datetime.timedelta(milliseconds=200)
# Delay before a timer fires again after its handler raised an exception.
TIMER_RETRY_DELAY = datetime.timedelta(seconds=1)
# Delay of the failure event for an effect whose result the reducer could not
# apply.
RESULT_RETRY_DELAY = datetime.timedelta(seconds=1)
# Longest wait for the end of each thread.
CLOSE_TIMEOUT_S = 5.0

_LOG = logbook.Logger("gypsumhold.engine")


class OwnerBusyError(Exception):
    """Another thread waits for this owner; the event was not applied."""


class Runner(abc.ABC):
    """Performs effects."""

    @abc.abstractmethod
    def run(self, effect: effects.Effect) -> events.Event | None:
        """Performs `effect` and returns the resulting event, if any.

        If it raises, the effect is taken to have started, so that it may have
        been carried out.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class EventTiming:
    """Where the time of an event went.

    Attributes:
        waited: Time until the reducer was free for the event.
        applied: Time that the reducer took.
    """

    waited: datetime.timedelta
    applied: datetime.timedelta


NO_TIMING = EventTiming(datetime.timedelta(0), datetime.timedelta(0))


class Observer(abc.ABC):
    """Receives each applied event with its effects, outside the lock."""

    @abc.abstractmethod
    def observe(
        self,
        event: events.Event,
        emitted: effects.Effects,
        timing: EventTiming = NO_TIMING,
    ) -> None:
        """Processes an applied event and the effects that it emitted.

        Runs in the thread that applied the event, so it has to be short and
        must not raise.
        """


class Engine(Generic[StateT]):
    """Runs one role: applies its events and performs their effects."""

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
            reduce: The reducer; it takes the state, an event and the
                monotonic time, and returns the effects.
            clock: Clock of the role.
            runner: Performs the effects.
            observer: Receives events and effects, for metrics.
            threads: Number of threads in each pool of effects that no owner
                waits for.
        """
        self._state = state
        self._reduce = reduce
        self._clock = clock
        self._runner = runner
        self._observer = observer
        self._lock = threading.Lock()
        self._mailboxes: dict[Owner, Mailbox] = {}
        self._failure_numbers = itertools.count()
        self._dropped_answers = 0
        self._stopped = threading.Event()
        self._timers = timer_thread.TimerThread(clock, self.deliver)
        self._pools = {
            kind: effect_pools.EffectPool(kind.value, number, self._execute)
            for kind, number in threads.items()
        }

    def dispatch(self, event: events.Event) -> None:
        """Applies an event and hands its effects to the threads that run them.

        An exception of the reducer propagates to the caller of this method.
        """
        arrived_at = self._clock.read_monotonic()
        with self._lock:
            now = self._clock.read_monotonic()
            emitted = self._reduce(self._state, event, now)
            applied_at = self._clock.read_monotonic()
            # Routed under the lock, so that the effects of one owner keep the
            # order in which the reducer emitted them.
            for effect in emitted:
                if not isinstance(effect, _IMMEDIATE):
                    self._route(effect)
        for effect in emitted:
            if isinstance(effect, _IMMEDIATE):
                self._execute(effect)
        if self._observer is not None:
            timing = EventTiming(now - arrived_at, applied_at - now)
            self._observer.observe(event, emitted, timing)

    def run_owner(
        self, owner: Owner, event: events.Event, timeout: datetime.timedelta
    ) -> FinalEffect | None:
        """Applies an event and runs the owner's effects until the final one.

        Args:
            owner: Request, attempt or ticket that the event starts.
            event: Event to apply.
            timeout: Longest wait for the final effect. The reducer's own timers
                should end the work earlier.

        Returns:
            The final effect, or None if none came within `timeout`.

        Raises:
            OwnerBusyError: Another thread waits for `owner`.
        """
        mailbox: Mailbox = queue.SimpleQueue()
        with self._lock:
            if owner in self._mailboxes:
                raise OwnerBusyError(str(owner))
            self._mailboxes[owner] = mailbox
        try:
            self.dispatch(event)
            return self._run_until_final(mailbox, timeout)
        finally:
            self._close_mailbox(owner)

    def snapshot(self, read: Callable[[StateT], ResultT]) -> ResultT:
        """Returns the result of `read`, called on the state under the lock.

        `read` has to be short, because no event is applied meanwhile.
        """
        with self._lock:
            return read(self._state)

    def read_clock(self) -> datetime.timedelta:
        """Returns the time that the reducer is given, for events of now."""
        return self._clock.read_monotonic()

    def count_dropped_answers(self) -> int:
        """Returns how many final effects had no waiting owner."""
        with self._lock:
            return self._dropped_answers

    def wait_stopped(self, timeout: datetime.timedelta) -> bool:
        """Waits for the `Stopped` effect; returns whether it was emitted."""
        return self._stopped.wait(timeout.total_seconds())

    def close(self) -> None:
        """Ends the threads; effects that are queued in a pool still run."""
        self._timers.close(CLOSE_TIMEOUT_S)
        for pool in self._pools.values():
            pool.close(CLOSE_TIMEOUT_S)

    def _run_until_final(
        self, mailbox: Mailbox, timeout: datetime.timedelta
    ) -> FinalEffect | None:
        """Runs the effects of a mailbox; returns the final one, if in time."""
        deadline = self._clock.read_monotonic() + timeout
        while True:
            remaining = (
                deadline - self._clock.read_monotonic()
            ).total_seconds()
            try:
                effect = mailbox.get(timeout=max(0.0, remaining))
            except queue.Empty:
                return None
            if isinstance(effect, FinalEffect):
                return effect
            self._execute(effect)

    def _close_mailbox(self, owner: Owner) -> None:
        """Removes the mailbox and routes its remaining effects again."""
        with self._lock:
            mailbox = self._mailboxes.pop(owner)
            while not mailbox.empty():
                self._route(mailbox.get_nowait())

    def _route(self, effect: effects.Effect) -> None:
        """Hands an effect to the thread that runs it; called under the lock."""
        if isinstance(effect, effects.SetTimer):
            event = events.TimerFired(effect.timer)
            self._timers.set(effect.timer, effect.delay, event)
        elif isinstance(effect, effects.Stopped):
            self._stopped.set()
        elif effect.owner in self._mailboxes:
            self._mailboxes[effect.owner].put(effect)
        elif isinstance(effect, FinalEffect):
            self._dropped_answers += 1
        elif isinstance(effect, _OWNER_REQUIRED):
            self._fail_unstarted(effect, datetime.timedelta(0))
        else:
            lane = effect_pools.choose_lane(effect)
            if not self._pools[lane.pool].submit(lane, effect):
                self._fail_unstarted(effect, REJECTION_DELAY)

    def _fail_unstarted(
        self, effect: effects.Effect, delay: datetime.timedelta
    ) -> None:
        """Delivers, after a delay, the failure event of an unstarted effect."""
        self._fail(effect, delay, started=False)

    def _fail(
        self,
        effect: effects.Effect,
        delay: datetime.timedelta,
        *,
        started: bool,
    ) -> None:
        """Delivers, after a delay, the failure event of an effect."""
        event = failure_events.build_failure_event(effect, started=started)
        if event is not None:
            self._timers.set(
                ("loss", next(self._failure_numbers)), delay, event
            )

    def _execute(self, effect: effects.Effect) -> None:
        """Runs an effect and delivers its event, or that of its failure.

        If the reducer raises for the result, it receives the failure event
        later: a handler that requests the next read or call with each result
        would otherwise never be called again.
        """
        try:
            event = self._runner.run(effect)
        except Exception:
            _LOG.exception(
                "running effect {} raised an exception", type(effect).__name__
            )
            event = failure_events.build_failure_event(effect, started=True)
        if event is not None and not self.deliver(event):
            self._fail(effect, RESULT_RETRY_DELAY, started=True)

    def deliver(self, event: events.Event) -> bool:
        """Applies an event and logs exceptions instead of raising them.

        Timer and pool threads use it, because they have to survive a faulty
        reducer. If a timer's event failed, the timer fires again after a
        delay, since its handler may be the one that sets it the next time.

        Returns:
            Whether the event was applied.
        """
        try:
            self.dispatch(event)
            return True
        except Exception:
            _LOG.exception(
                "applying event {} raised an exception", type(event).__name__
            )
            if isinstance(event, events.TimerFired):
                self._timers.set(event.timer, TIMER_RETRY_DELAY, event)
            return False
