"""Follows the waits for near places, and weighs them in each plan.

Nothing of a wait is stored. A new holder knows of none, so it weighs each task
anew; a job of which nothing runs then counts as having waited already.
"""

import dataclasses
import datetime
import math
from collections.abc import Iterable

from gypsumhold.decisions.jobs import (
    capacity,
    choices,
    estimates,
    lifecycle,
    ordering,
    starvation,
    unmet_requests,
)
from gypsumhold.decisions.jobs.locality import distances, rack_forecasts
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids, resources, timers
from gypsumhold.model.jobs import (
    effects,
    locality,
    progress,
    records,
    runs,
    scheduler,
    specs,
)

EffectList = list[base_effects.Effect]

TIMER = timers.Timer(timers.TimerKind.NEAR_PLACE)


def handle_timer(state: scheduler.SchedulerState) -> EffectList:
    """Makes a plan due at the end of a wait."""
    if state.holder_state is not None:
        state.holder_state.plan_due = True
    return []


class NearPlaces:
    """Weighs the waits for near places during one plan.

    A plan comes to the jobs in their order, so a task that waits is ahead of
    those that the plan weighs after it.

    Attributes:
        emitted: Log lines and measurements so far.
    """

    def __init__(
        self,
        state: scheduler.SchedulerState,
        holder_state: scheduler.HolderState,
        candidates: choices.Candidates,
        unmet: unmet_requests.UnmetRequests,
        now: datetime.timedelta,
    ) -> None:
        """Begins a plan among `candidates`.

        Args:
            state: State of the scheduler.
            holder_state: State of the held queue.
            candidates: Workers that may get new runs.
            unmet: The requests for which the plan finds no capacity.
            now: When the plan is made.
        """
        self.emitted: EffectList = []
        self._policies = state.policies
        self._slowdown = state.options.off_rack_slowdown
        self._holder_state = holder_state
        self._candidates = candidates
        self._unmet = unmet
        self._now = now
        self._estimates = estimates.EstimatesOfOneMoment(
            state.policies.estimates
        )
        self._claims = Claims()
        self._cases: dict[tuple[int, ids.Rack], locality.NearPlaceCase] = {}
        self._given_up: set[int] = set()
        awaited = {wait.rack for wait in holder_state.near_waits.values()}
        for candidate in candidates.values():
            rack = capacity.find_rack(candidate) if awaited else ""
            candidate.awaited = rack in awaited

    def prefers_rack(self, step: progress.Step, task: progress.Task) -> bool:
        """Tells whether a task is faster near, and may wait for that.

        Serving tasks and suspects never wait.
        """
        return is_faster_near(
            step.spec, self._slowdown
        ) and not step.is_suspect(task)

    def weigh_task(
        self, placed: scheduler.PlacedTask, ref: runs.TaskRef
    ) -> bool:
        """Tells whether a task waits for a place on the rack of its data."""
        if id(placed.step) in self._given_up:
            return False
        rack = placed.step.spec.data_rack
        # A step ends with its last task, so its job gains nothing unless all of
        # its ready tasks get a near place in time. Where other tasks find no
        # capacity, each task that runs near leaves more of it to them.
        width = 1
        if not self._unmet.has_any():
            width = count_ready(placed.step)
        case = self._build_case(placed, ref, rack, width)
        decision = self._policies.locality.decide(case)
        if decision.choice is locality.PlaceChoice.WAIT:
            self._wait(placed, ref, case, decision)
            return True
        if case.latest_start_at is None:
            # The other tasks of the step would have to wait longer.
            self._given_up.add(id(placed.step))
        return False

    def weigh_gang(
        self, placed: scheduler.PlacedTask, ref: runs.TaskRef
    ) -> bool:
        """Tells whether a gang waits for a rack on which all of it fits.

        Args:
            placed: Its first task.
            ref: Reference to that task.
        """
        spec = placed.step.spec
        racks = {spec.data_rack}
        if not spec.data_rack:
            racks = distances.list_racks(self._candidates.values())
        width = len(placed.step.tasks)
        weighed = []
        for rack in sorted(racks):
            case = self._build_case(placed, ref, rack, width)
            decision = self._policies.locality.decide(case)
            if decision.choice is locality.PlaceChoice.WAIT:
                weighed.append((case, decision))
        if not weighed:
            return False
        case, decision = min(
            weighed, key=lambda item: item[1].expected_at or item[1].until
        )
        self._wait(placed, ref, case, decision)
        return True

    def _build_case(
        self,
        placed: scheduler.PlacedTask,
        ref: runs.TaskRef,
        rack: ids.Rack,
        width: int,
    ) -> locality.NearPlaceCase:
        """Returns what decides about a wait for some places on a rack.

        What the tasks of a step have in common is kept until a task is placed.
        """
        step = placed.step
        key = (id(step), rack)
        case = self._cases.get(key)
        if case is None or placed.task.excluded_instances:
            case = self._build_common_case(placed, ref, rack)
            if not placed.task.excluded_instances:
                self._cases[key] = case
        claimed = self._claims.sum_others(rack, step)
        if width == 1:
            claimed = self._claims.sum_all(rack)
        places_ahead = count_claims(claimed, step.spec) + width - 1
        if step.spec.gang:
            # The free places count only for a gang: a single task would have
            # been placed there.
            places_ahead = max(0, places_ahead - case.forecast.free)
        wait = self._holder_state.near_waits.get(ref)
        return dataclasses.replace(
            case,
            work=self._estimate_work(step, ref.index),
            places_ahead=places_ahead,
            began_at=None if wait is None else wait.began_at,
        )

    def _build_common_case(
        self, placed: scheduler.PlacedTask, ref: runs.TaskRef, rack: ids.Rack
    ) -> locality.NearPlaceCase:
        """Returns a case in which nothing is claimed yet."""
        job, step, now = placed.job, placed.step, self._now
        forecast = rack_forecasts.forecast_rack(
            self._holder_state,
            self._candidates.values(),
            rack,
            placed,
            policy=self._estimates,
            now=now,
        )
        outlook = ordering.refresh_outlook(job, now, self._policies.estimates)
        latest_start_at = None
        if not job.has_placed_task():
            latest_start_at = starvation.find_first_run_deadline(
                self._holder_state, job, now
            )
        return locality.NearPlaceCase(
            now,
            self._slowdown,
            self._estimate_work(step, ref.index),
            forecast,
            0,
            # No plan is made while a batch is under way.
            self._holder_state.run_waits.batch_time / 2,
            outlook.due_at - outlook.remaining_time - now,
            self._unmet.has_any(),
            latest_start_at=latest_start_at,
            step_ends_at=self._estimate_step_end(step),
        )

    def _estimate_work(
        self, step: progress.Step, index: int
    ) -> datetime.timedelta:
        """Returns the run time that is left of a ready task, or of a gang."""
        run_times = self._estimates.estimate_tasks(step)
        indices = range(len(run_times)) if step.spec.gang else [index]
        return max(
            run_times[i] * estimate_unsaved(step.tasks[i]) for i in indices
        )

    def _estimate_step_end(self, step: progress.Step) -> datetime.timedelta:
        """Returns when the last of the placed tasks of a step ends."""
        return max(
            (
                rack_forecasts.estimate_end(task, run_time, self._now)
                for task, run_time in zip(
                    step.tasks,
                    self._estimates.estimate_tasks(step),
                    strict=True,
                )
                if task.is_placed()
            ),
            default=self._now,
        )

    def _wait(
        self,
        placed: scheduler.PlacedTask,
        ref: runs.TaskRef,
        case: locality.NearPlaceCase,
        decision: locality.PlaceDecision,
    ) -> None:
        """Begins a wait or goes on with it, and claims the places."""
        rack = case.forecast.rack
        for _ in placed.step.list_unit(placed.task):
            self._claims.add(rack, placed.step)
        began_at = self._now if case.began_at is None else case.began_at
        self._holder_state.near_waits[ref] = locality.NearWait(
            rack, began_at, decision.until
        )
        if case.began_at is None:
            self.emitted.append(effects.MeasureNearWait(None))
            self.emitted.append(_log_begin(ref, case, decision))

    def measure_slowdown(
        self, step: progress.Step, tasks: Iterable[progress.Task]
    ) -> None:
        """Records how much longer tasks take where they are placed."""
        for task in tasks:
            task.slowdown = distances.measure_slowdown(
                self._holder_state, step, task, self._slowdown
            )

    def note_placement(
        self, ref: runs.TaskRef, spec: specs.StepSpec, racks: set[ids.Rack]
    ) -> None:
        """Ends the wait of a task, or of a gang, that is placed.

        Args:
            ref: The task, or the first one of the gang.
            spec: Its step.
            racks: The racks on which it, or the gang, is placed.
        """
        self._cases.clear()
        wait = self._holder_state.near_waits.get(ref)
        if wait is None:
            return
        outcome = locality.NearWaitOutcome.ELSEWHERE
        if distances.are_near(spec, racks):
            outcome = locality.NearWaitOutcome.NEAR
        elif self._now >= wait.until:
            outcome = locality.NearWaitOutcome.GAVE_UP
        self._end(ref, wait, outcome, ",".join(sorted(racks)))

    def _end(
        self,
        ref: runs.TaskRef,
        wait: locality.NearWait,
        outcome: locality.NearWaitOutcome,
        placed_on: str = "",
    ) -> None:
        del self._holder_state.near_waits[ref]
        waited = self._now - wait.began_at
        self.emitted.append(effects.MeasureNearWait(outcome, waited))
        inputs = (
            ("task", str(ref)),
            ("rack", wait.rack),
            ("placed_on", placed_on),
            ("waited_ms", str(lifecycle.to_ms(waited))),
        )
        self.emitted.append(
            effects.Log("near-place", ref.job_id, outcome.value, inputs)
        )

    def close(self) -> EffectList:
        """Ends the plan: drops what no longer waits, and sets the timer."""
        near_waits = self._holder_state.near_waits
        for ref, wait in list(near_waits.items()):
            if not self._is_ready(ref):
                self._end(ref, wait, locality.NearWaitOutcome.DROPPED)
        ends = [
            wait.until for wait in near_waits.values() if wait.until > self._now
        ]
        if ends:
            self.emitted.append(
                base_effects.SetTimer(TIMER, min(ends) - self._now)
            )
        return self.emitted

    def _is_ready(self, ref: runs.TaskRef) -> bool:
        """Tells whether a task is still to be placed."""
        job = self._holder_state.open_jobs.get(ref.job_id)
        task = None if job is None else job.find_task(ref)
        return task is not None and task.state is records.TaskState.READY


def is_faster_near(spec: specs.StepSpec, off_rack_slowdown: float) -> bool:
    """Tells whether the tasks of a step are faster near, and may wait for that.

    Serving and long-running tasks never wait.
    """
    return (
        off_rack_slowdown > locality.NO_SLOWDOWN
        and distances.has_near_rack(spec)
        and not spec.long_running
        and not spec.target_latency_ms
    )


def estimate_unsaved(task: progress.Task) -> float:
    """Returns the share of a task that its next run has to do."""
    return estimates.estimate_left(task) if task.checkpoint else 1.0


class Claims:
    """What the tasks that wait take of the openings of each rack."""

    def __init__(self) -> None:
        """Begins without claims."""
        self._by_step: dict[ids.Rack, dict[int, resources.Resources]] = {}

    def add(self, rack: ids.Rack, step: progress.Step) -> None:
        """Adds the request of one task of a step."""
        by_step = self._by_step.setdefault(rack, {})
        spec = step.spec
        requested = resources.Resources(
            spec.cpu_millis, spec.memory_mb, spec.accelerators
        )
        by_step[id(step)] = by_step.get(id(step), resources.NOTHING) + requested

    def sum_all(self, rack: ids.Rack) -> resources.Resources:
        """Returns all claims on a rack."""
        by_step = self._by_step.get(rack, {})
        return sum(by_step.values(), resources.NOTHING)

    def sum_others(
        self, rack: ids.Rack, step: progress.Step
    ) -> resources.Resources:
        """Returns the claims on a rack but for those of a step."""
        by_step = self._by_step.get(rack, {})
        own = by_step.get(id(step), resources.NOTHING)
        return self.sum_all(rack) - own


def count_ready(step: progress.Step) -> int:
    """Returns how many tasks of a step are to be placed."""
    ready = records.TaskState.READY
    return sum(task.state is ready for task in step.tasks)


def count_claims(claimed: resources.Resources, spec: specs.StepSpec) -> int:
    """Returns how many places of a step the tasks ahead take, rounded up."""
    return max(
        (
            math.ceil(taken / requested)
            for taken, requested in (
                (claimed.cpu_millis, spec.cpu_millis),
                (claimed.memory_mb, spec.memory_mb),
                (claimed.accelerators, spec.accelerators),
            )
            if requested
        ),
        default=0,
    )


def _log_begin(
    ref: runs.TaskRef,
    case: locality.NearPlaceCase,
    decision: locality.PlaceDecision,
) -> effects.Log:
    """Returns the log line of a wait that begins, with what was weighed."""
    expected_at = decision.expected_at or decision.until
    oldest = min(
        (opening.reported_at for opening in case.forecast.openings),
        default=case.now,
    )
    inputs = (
        ("task", str(ref)),
        ("rack", case.forecast.rack),
        ("slowdown", f"{case.off_rack_slowdown:g}"),
        ("work_ms", str(lifecycle.to_ms(case.work))),
        ("loss_ms", str(lifecycle.to_ms(case.loss))),
        ("job_loss_ms", str(lifecycle.to_ms(case.job_loss))),
        ("expected_in_ms", str(lifecycle.to_ms(expected_at - case.now))),
        ("until_in_ms", str(lifecycle.to_ms(decision.until - case.now))),
        ("openings", str(len(case.forecast.openings))),
        ("ahead", str(case.places_ahead)),
        ("slack_ms", str(lifecycle.to_ms(case.slack))),
        ("contended", "yes" if case.is_contended else "no"),
        ("runless", "no" if case.latest_start_at is None else "yes"),
        ("report_age_ms", str(lifecycle.to_ms(case.now - oldest))),
    )
    return effects.Log("near-place", ref.job_id, "wait", inputs)
