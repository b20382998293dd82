"""Updates tasks from the rows of reports that list their current runs."""

import datetime
from collections.abc import Mapping

from gypsumhold.decisions.jobs import crashes, estimates, run_speeds
from gypsumhold.decisions.jobs.locality import distances
from gypsumhold.model import effects as base_effects
from gypsumhold.model import ids
from gypsumhold.model.jobs import runs, scheduler

EffectList = list[base_effects.Effect]


def apply_rows(
    holder_state: scheduler.HolderState,
    view: scheduler.AgentView,
    listed: Mapping[runs.TaskRef, runs.RunRow],
    off_rack_slowdown: float,
    now: datetime.timedelta,
) -> EffectList:
    """Updates the tasks placed at an agent from the runs in its latest report.

    A task counts as reported if the report lists its current run, and as not
    reported otherwise. For a listed run, the checkpoint is updated, and the
    percentage and the time of progress if the percentage has risen. Ends of
    runs are handled elsewhere.

    Returns the log lines of runs that have stopped working or work again.
    """
    emitted: EffectList = []
    for ref, placed in view.placed.items():
        row = listed.get(ref)
        was_working = placed.task.is_working()
        if placed.task.reported is not (row is not None):
            holder_state.run_waits.touched.add(placed.job.spec.job_id)
        placed.task.reported = row is not None
        if row is None:
            continue
        if placed.task.listed_at is None:
            placed.task.listed_at = view.latest_start_at = now
        if row.age_ms != runs.UNKNOWN_AGE:
            if placed.task.age is None:
                placed.job.has_begun = True
                holder_state.run_waits.touched.add(placed.job.spec.job_id)
            placed.task.age = datetime.timedelta(milliseconds=row.age_ms)
            if placed.task.is_start_open:
                view.heard_at = now
            placed.task.is_start_open = False
            placed.task.refused_by = ids.InstanceId("")
        crashes.clear_suspicion(holder_state, view, placed)
        if row.checkpoint and row.checkpoint != placed.task.checkpoint:
            placed.task.checkpoint = row.checkpoint
        placed.task.slowdown = distances.measure_slowdown(
            holder_state, placed.step, placed.task, off_rack_slowdown
        )
        estimates.measure_progress(placed.step, placed.task, row, now)
        if row.progress_percent > placed.task.progress_percent:
            placed.task.progress_percent = row.progress_percent
            placed.task.progressed_at = now
        if placed.task.is_working() is not was_working:
            holder_state.run_waits.touched.add(placed.job.spec.job_id)
        emitted += run_speeds.log_change(ref, placed, now)
    return emitted
