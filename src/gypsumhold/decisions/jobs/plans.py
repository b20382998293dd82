"""Plans: places the ready tasks of open jobs on workers."""

import datetime
from collections.abc import Sequence

from gypsumhold.decisions.jobs import (
    boosts,
    capacity,
    evacuation_waits,
    failed_plans,
    fleet_shares,
    job_placements,
    migrations,
    ordering,
    ready_tasks,
    starvation,
    unmet_requests,
    waits,
)
from gypsumhold.decisions.jobs.locality import near_waits
from gypsumhold.model import effects as base_effects
from gypsumhold.model.jobs import progress, scheduler, specs
from gypsumhold.model.jobs.waits import WaitStage

EffectList = list[base_effects.Effect]

MAX_CHANGED_JOBS = 60
"""Changed jobs at which a plan stops, so that one batch can store them."""

MIN_CHANGED_JOBS = 20
"""Jobs that a plan may change in any case. Where ends alone change more jobs
than a batch takes, nothing would be placed otherwise."""

MAX_PLACEMENTS = 60
"""Placements at which a plan stops. Each one takes time in the plan, the batch
and the push of its start, for which all other jobs wait."""

MAX_FIRST_RUNS = 60
"""Placements of first runs that a plan makes before any further ones, beside
those of starved jobs."""

MIN_FURTHER_RUNS = 20
"""Placements in the order of the policy for which a plan always has room. With
first runs alone, all jobs would go on one task at a time."""

MAX_SHARE_FOR_FIRST_RUNS = 0.6
"""Share of the fleet that is placed from which first runs don't go first. No
job may be without a run while under half of the fleet is in use, and some of
what is placed has ended or not begun. In a full fleet, first runs of late jobs
would make urgent ones late."""

MAX_SHARE_FOR_STARVED_JOBS = 0.6
"""Share of the fleet that runs from which starved jobs don't go first. The rule
goes by what runs, of which reports tell with a delay."""

MAX_STARVED_JOBS = 60
"""Placements of starved jobs that a plan makes beyond these limits, so that one
batch can store them. Jobs that fit nowhere do not count, as those behind them
would never be placed."""

MAX_BOOSTS = 8
"""Halted jobs for which a plan looks for a better worker, once a tick: each
takes about as long as several placements."""

MISSES_BEFORE_SKIP = 40
"""Best-effort tasks without a candidate after which a plan skips the other jobs
of which only such tasks are ready, but for starved ones, which have to get a
run in the end, and those of which a task may not wait."""


def place_ready_tasks(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    now: datetime.timedelta,
) -> EffectList:
    """Places ready tasks as far as the free capacity allows.

    While the fleet has room, starved jobs get a run first, then the others that
    have had none for some time; the rest follows in the order of the policy.
    In a full fleet that order alone counts, and starved jobs that the plan does
    not get to follow at its end. A job for which this raises an exception is
    set aside for a time, so that it does not stop the others.
    """
    jobs = _list_plannable(holder_state, now)
    emitted = _estimate_jobs(state, holder_state, jobs, now)
    candidates = capacity.build_candidates(state, holder_state, now)
    if not candidates:
        evacuation_waits.note_without_candidates(state, holder_state, jobs)
        return emitted
    unmet = unmet_requests.UnmetRequests()
    near = near_waits.NearPlaces(state, holder_state, candidates, unmet, now)
    plan = job_placements.Plan(
        state, holder_state, candidates, now, near, unmet
    )
    passes = _PlanPasses(
        plan,
        state.policies.ordering.sort(
            [job for job in jobs if not job.is_set_aside(now)], now
        ),
    )
    passes.place()
    return [*emitted, *passes.emitted, *near.close()]


def _list_plannable(
    holder_state: scheduler.HolderState, now: datetime.timedelta
) -> list[progress.Job]:
    """Returns the jobs that may have a task to place or to migrate."""
    return [
        job
        for job in holder_state.open_jobs.values()
        if not job.is_set_aside(now)
        and (job.has_best_effort_steps() or ready_tasks.has_ready_task(job))
    ]


class _PlanPasses:
    """Goes through the jobs of a plan in several passes.

    Attributes:
        emitted: The log lines so far.
    """

    def __init__(
        self, plan: job_placements.Plan, jobs: Sequence[progress.Job]
    ) -> None:
        """Begins a plan for jobs that are in the order of the policy."""
        holder_state = plan.holder_state
        self.emitted: EffectList = []
        self._plan = plan
        self._jobs = jobs
        starved = starvation.list_starved_jobs(holder_state, plan.now)
        self._halted = [
            job for job in starved if starvation.is_halted(holder_state, job)
        ]
        self._starved = {
            job.spec.job_id: job
            for job in starved
            if not starvation.is_halted(holder_state, job)
        }
        self._without_place: set[specs.JobId] = set()
        self._placed = 0
        self._misses = 0
        self._migrations_due = holder_state.migrations_due
        holder_state.migrations_due = False

    def place(self) -> None:
        """Places the jobs as far as the limits of a plan allow.

        While the fleet has room, each job gets a run before any gets a further
        one, and starved jobs come first of all. They also do while less than
        that runs: the others might take all that is not placed.
        """
        candidates = self._plan.candidates
        placed = fleet_shares.measure_placed_share(candidates)
        running = fleet_shares.measure_running_share(candidates)
        if running < MAX_SHARE_FOR_STARVED_JOBS:
            # In a full fleet, jobs that are worth more for their work go first.
            self._boost_halted()
        if placed < MAX_SHARE_FOR_FIRST_RUNS:
            self._place_starved()
            self._place_first_runs()
            self._place_in_order()
        elif running < MAX_SHARE_FOR_STARVED_JOBS:
            self._place_starved()
            self._place_in_order()
        else:
            self._place_in_order()
            self._place_starved()

    def _place_starved(self) -> None:
        """Places a task, or a gang, of each starved job not yet looked at."""
        most = self._placed + MAX_STARVED_JOBS
        for job in list(self._starved.values()):
            if self._placed >= most:
                self._plan.holder_state.plan_due = True
                break
            if self._is_left(job):
                self._place_first_run(job)

    def _boost_halted(self) -> None:
        """Gets a run to work of some of the jobs of which all are halted."""
        if not self._migrations_due:
            return
        due = starvation.order_boosts(self._halted, self._plan.now)
        for job in due[:MAX_BOOSTS]:
            if self._is_left(job):
                self._boost(job)

    def _boost(self, job: progress.Job) -> None:
        """Gets a run of a job to work of which all runs are halted."""
        holder_state, now = self._plan.holder_state, self._plan.now
        job.boost_tried_at = now
        try:
            option = boosts.choose(self._plan, job)
            if option is not None:
                job.boost_due_at = now + starvation.BOOST_TIME
                self.emitted += boosts.apply(self._plan, job, option)
        except Exception as problem:
            self.emitted += failed_plans.set_aside(
                holder_state, job, problem, now
            )
            return
        if option and option.kind is boosts.OptionKind.ANOTHER_TASK:
            self._place_job(job, 1)
            boosts.withdraw(option)

    def _place_first_runs(self) -> None:
        """Places a task, or a gang, of each job whose first run is due."""
        holder_state, now = self._plan.holder_state, self._plan.now
        dirty = holder_state.dirty
        most = self._placed + MAX_FIRST_RUNS
        for job in self._jobs:
            if len(dirty) >= MAX_CHANGED_JOBS or self._placed >= most:
                break
            is_due = starvation.is_first_run_due(holder_state, job, now)
            if is_due and self._is_left(job) and not job.has_placed_task():
                self._place_first_run(job)

    def _place_first_run(self, job: progress.Job) -> None:
        """Places a task, or a gang; where none fits, the job is done with."""
        if not self._place_job(job, 1):
            self._without_place.add(job.spec.job_id)

    def _place_in_order(self) -> None:
        """Places the tasks of all jobs in the order of the policy."""
        holder_state = self._plan.holder_state
        limit = max(
            MAX_CHANGED_JOBS, len(holder_state.dirty) + MIN_CHANGED_JOBS
        )
        most = max(MAX_PLACEMENTS, self._placed + MIN_FURTHER_RUNS)
        for position, job in enumerate(self._jobs):
            if len(holder_state.dirty) >= limit or self._placed >= most:
                self._leave(self._jobs[position:])
                break
            if self._is_left(job):
                self._place_job(
                    job,
                    most - self._placed,
                    migrations_due=self._migrations_due,
                )
        if self._placed >= most:
            holder_state.plan_due = True

    def _is_left(self, job: progress.Job) -> bool:
        """Tells whether this plan may place tasks of a job."""
        if job.is_set_aside(self._plan.now):
            return False
        return job.spec.job_id not in self._without_place

    def _leave(self, jobs: Sequence[progress.Job]) -> None:
        """Leaves jobs to the next plan."""
        holder_state = self._plan.holder_state
        holder_state.plan_due = True
        for job in jobs:
            if self._is_left(job):
                waits.note_obstacle(holder_state, job, WaitStage.PLAN_LIMIT)

    def _place_job(
        self, job: progress.Job, most: int, *, migrations_due: bool = False
    ) -> bool:
        """Places at most so many tasks of a job; tells whether any was."""
        job_id = job.spec.job_id
        is_starved = job_id in self._starved
        if (
            self._misses >= MISSES_BEFORE_SKIP
            and not is_starved
            and _may_skip(job)
        ):
            waits.note_obstacle(
                self._plan.holder_state, job, WaitStage.PLAN_LIMIT
            )
            return False
        self._starved.pop(job_id, None)
        placement = _place_job(
            self._plan,
            job,
            most,
            starved=is_starved,
            migrations_due=migrations_due,
        )
        self.emitted += placement.emitted
        self._misses += placement.misses
        self._placed += placement.placed
        return placement.placed > 0


def _may_skip(job: progress.Job) -> bool:
    """Tells whether only best-effort tasks that may wait are left to place."""
    return job.has_best_effort_steps() and not (
        job.is_migrating()
        or job.is_long_running()
        or ready_tasks.has_ordinary_ready_task(job)
    )


def _place_job(
    plan: job_placements.Plan,
    job: progress.Job,
    most: int,
    *,
    starved: bool,
    migrations_due: bool = False,
) -> job_placements.Placement:
    """Places at most so many tasks of a job; sets it aside if that fails.

    A job for which it does not fail is no longer set aside.
    """
    placement = job_placements.Placement()
    try:
        if migrations_due:
            placement.emitted += migrations.migrate_slow_tasks(
                plan.state, plan.holder_state, job, plan.candidates, plan.now
            )
        job_placements.place_tasks(plan, job, placement, most, starved=starved)
        job.set_aside = None
    except Exception as problem:
        placement.emitted += failed_plans.set_aside(
            plan.holder_state, job, problem, plan.now
        )
    return placement


def _estimate_jobs(
    state: scheduler.SchedulerState,
    holder_state: scheduler.HolderState,
    jobs: Sequence[progress.Job],
    now: datetime.timedelta,
) -> EffectList:
    """Estimates jobs and works out which ones give way to others.

    A job that cannot be estimated is set aside.
    """
    emitted: EffectList = []
    policy = state.policies.estimates
    best_effort: list[progress.Job] = []
    for job in jobs:
        try:
            ordering.refresh_outlook(job, now, policy)
        except Exception as problem:
            emitted += failed_plans.set_aside(holder_state, job, problem, now)
            continue
        if job.has_best_effort_steps():
            best_effort.append(job)
    typical_work = ordering.measure_typical_work(best_effort, now, policy)
    for job in best_effort:
        job.expected_return = ordering.estimate_return(
            job, now, policy, typical_work
        )
        gives_way = ordering.gives_way(job, now, policy, typical_work)
        if gives_way is not job.gives_way:
            _change_priority(holder_state, job, gives_way)
    return emitted


def _change_priority(
    holder_state: scheduler.HolderState, job: progress.Job, gives_way: bool
) -> None:
    """Lets the best-effort tasks of a job give way to others, or not.

    The capacity where they are placed has to be counted anew.
    """
    job.gives_way = gives_way
    for step in job.steps:
        for task in step.tasks:
            view = holder_state.agents.get(task.instance)
            if view is not None and task.is_placed():
                view.candidate = None
