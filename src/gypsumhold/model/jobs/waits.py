"""Waits of jobs and long-running tasks of which no run works."""

import dataclasses
import datetime
import enum

from gypsumhold.model.jobs import runs, specs

ZERO = datetime.timedelta(0)


class WaitStage(enum.Enum):
    """What has to happen next until a run begins, or what prevents it."""

    REPORT = "report"
    """The agent has to report the end of the latest run."""

    HALTED = "halted"
    """The runs of the job stand still, as they are throttled or their workers
    do not get on; one of them has to work, or another one elsewhere."""

    STOP = "stop"
    """The latest run has to stop, so that its task can go on elsewhere."""

    PLAN = "plan"
    """A plan has to look at the ready tasks."""

    PLAN_LIMIT = "plan limit"
    """The latest plan ended, or began to skip jobs, before it came to them."""

    SET_ASIDE = "set aside"
    """The latest plan failed for the job; a later one looks at it again."""

    CAPACITY = "capacity"
    """No usable worker has room for a ready task."""

    EVACUATION = "evacuation"
    """All workers that could run a ready task are in evacuated data centres."""

    EXCLUSION = "exclusion"
    """The workers with room are those on which the task failed."""

    POLICY = "policy"
    """The placement policy waits for a better worker."""

    NEAR_PLACE = "near place"
    """It pays to wait for a place on the rack of the data or of the gang."""

    PROBATION = "probation"
    """The task may crash its worker, and no worker is quiet enough for it."""

    GANG = "gang"
    """Other tasks of the gang have not ended, or not all of them fit."""

    ROW_SIZE = "row size"
    """The stored progress of the job has no room for another placement."""

    STORE = "store"
    """A batch has to store the placement."""

    AGENT = "agent"
    """The start command has to reach the agent, which then lists the run."""

    START = "start"
    """The agent has to start the run, and the worker to confirm it."""


PLACED_STAGES = (WaitStage.STORE, WaitStage.AGENT, WaitStage.START)
"""The stages of a placed task, in their order."""


@dataclasses.dataclass(slots=True)
class RunWait:
    """Time without a run that works although a task is ready or placed.

    Attributes:
        job_id: The job.
        task: The long-running task; None if no task of the job runs.
        since: When the latest run ended on its worker or was halted, or the
            first task became ready.
        stage: The present stage.
        stage_since: Since when it is the present stage.
        obstacle: What kept the latest plan from placing a task; `PLAN` if none
            has looked at the job since the wait began and none failed for it.
        spent: Time spent in earlier stages.
        placed_at: When a task was last placed during the wait; None if none
            was.
        is_logged: Whether a line of the log tells about the wait.
        is_overdue_logged: Whether a line tells that it exceeds the limit.
    """

    job_id: specs.JobId
    task: runs.TaskRef | None
    since: datetime.timedelta
    stage: WaitStage
    stage_since: datetime.timedelta
    obstacle: WaitStage = WaitStage.PLAN
    spent: dict[WaitStage, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    placed_at: datetime.timedelta | None = None
    is_logged: bool = False
    is_overdue_logged: bool = False

    def measure(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns how long the wait has lasted."""
        return max(now - self.since, ZERO)

    def enter(self, stage: WaitStage, now: datetime.timedelta) -> None:
        """Makes `stage` the present stage and counts the time until now."""
        if stage is self.stage:
            return
        self.spent[self.stage] = self._measure_stage(now)
        self.stage = stage
        self.stage_since = now

    def list_spent(
        self, now: datetime.timedelta
    ) -> dict[WaitStage, datetime.timedelta]:
        """Returns the time in each stage up to now, in order of the stages."""
        spent = {**self.spent, self.stage: self._measure_stage(now)}
        return {stage: spent[stage] for stage in WaitStage if stage in spent}

    def _measure_stage(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the time spent in the present stage, also earlier."""
        earlier = self.spent.get(self.stage, ZERO)
        return earlier + max(now - self.stage_since, ZERO)


@dataclasses.dataclass(slots=True)
class RunWaits:
    """All waits of a holder.

    Attributes:
        jobs: Waits of jobs of which nothing works.
        tasks: Waits of long-running tasks.
        touched: Jobs whose tasks have changed since their waits were updated.
        batch_time: Recent time from sending a batch until it was stored.
        lines_left: Lines that may still be logged before the next tick.
        lines_dropped: Lines that were left out since the latest one.
    """

    jobs: dict[specs.JobId, RunWait] = dataclasses.field(default_factory=dict)
    tasks: dict[runs.TaskRef, RunWait] = dataclasses.field(default_factory=dict)
    touched: set[specs.JobId] = dataclasses.field(default_factory=set)
    batch_time: datetime.timedelta = ZERO
    lines_left: int = 0
    lines_dropped: int = 0

    def list_all(self) -> list[RunWait]:
        """Returns the waits of jobs and of long-running tasks."""
        return [*self.jobs.values(), *self.tasks.values()]
