"""Tests of jobs whose stored record cannot be applied.

Pattern: a job is left out after part of its record was applied, and the part
that the holder remembers is stored in place of the record.
"""

import datetime

import msgspec
import pytest

from gypsumhold.decisions import reducer
from gypsumhold.decisions.jobs import holders, reports
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    events,
    messages,
    records,
    runs,
    scheduler,
    storage,
)
from tests.jobs import builders, job_specs

NOW = datetime.timedelta(seconds=1)
WAIT = datetime.timedelta(seconds=1)
JOB = job_specs.build_job("j", (2, 3))
OTHER = job_specs.build_job("other", (1,))
INSTANCE = ids.InstanceId("agent-0")

DONE = records.TaskRecord(records.TaskState.DONE, runs.RunNumber(1))
PLACED = records.TaskRecord(
    records.TaskState.PLACED, runs.RunNumber(1), 0, INSTANCE
)
FIRST_STEP = records.StepRecord(0, 0, (PLACED, DONE))

FAULTY_STEPS = {
    "unknown step": records.StepRecord(0, 2, (DONE,)),
    "negative step": records.StepRecord(0, -1, (DONE,) * 3),
    "unknown repetition": records.StepRecord(1, 0, (DONE,) * 2),
    "negative repetition": records.StepRecord(-1, 0, (DONE,) * 2),
    "huge repetition": records.StepRecord(10**9, 0, (DONE,) * 2),
    "too few tasks": records.StepRecord(0, 1, (DONE,) * 2),
    "too many tasks": records.StepRecord(0, 1, (DONE,) * 4),
}


def build_rows(faulty_step: records.StepRecord) -> storage.JobRows:
    """Returns the rows of a job of whose record the first step is sound."""
    steps = (FIRST_STEP, faulty_step)
    running = messages.JobState.RUNNING
    record = records.ProgressRecord(records.FORMAT, running, steps)
    return storage.JobRows(JOB, record)


def load(*jobs: storage.JobRows) -> scheduler.SchedulerState:
    """Returns a holder that has just loaded some jobs."""
    state = builders.build_holder(NOW)
    loaded = storage.LoadedJobs(jobs, ids.RowVersion(1))
    reducer.reduce(state, events.JobsLoaded(ids.Epoch(1), loaded, 0), NOW)
    return state


def get_holder_state(
    state: scheduler.SchedulerState,
) -> scheduler.HolderState:
    assert state.holder_state is not None
    return state.holder_state


@pytest.mark.parametrize("fault", FAULTY_STEPS)
def test_no_part_of_a_faulty_record_is_kept(fault: str) -> None:
    """Guards against a record that is replaced by the part that was read."""
    rows = build_rows(FAULTY_STEPS[fault])
    holder_state = get_holder_state(load(rows, storage.JobRows(OTHER)))
    assert set(holder_state.jobs) == {OTHER.job_id}
    assert set(holder_state.open_jobs) == {OTHER.job_id}
    assert holder_state.orphans == {}
    assert holder_state.left_out_jobs == {JOB.job_id}


def test_job_is_added_once_its_record_is_sound() -> None:
    """Guards against a repaired job that stays left out."""
    state = load(build_rows(FAULTY_STEPS["unknown step"]))
    holder_state = get_holder_state(state)
    sound = build_rows(records.StepRecord(0, 1, ()))
    holders.add_stored_job(holder_state, sound, NOW)
    assert set(holder_state.jobs) == {JOB.job_id}
    assert holder_state.left_out_jobs == set()


def test_late_notice_does_not_begin_a_left_out_job_anew() -> None:
    """Guards against tasks that are done twice.

    The notice that the job was stored reaches the next holder, which has left
    the job out.
    """
    state = load(build_rows(FAULTY_STEPS["unknown step"]))
    query = messages.Query(messages.QueryKind.ACCEPTED, JOB.job_id, spec=JOB)
    ticket = ids.TicketId("t")
    reducer.reduce(
        state, events.QueryArrived(ticket, query, WAIT, forwarded=True), NOW
    )
    assert get_holder_state(state).jobs == {}


def test_state_of_a_left_out_job_is_answered_from_its_rows() -> None:
    """Guards against a query that raises an exception in the holder."""
    rows = build_rows(FAULTY_STEPS["unknown step"])
    state = load(rows)
    query = messages.Query(messages.QueryKind.STATE, JOB.job_id)
    ticket = ids.TicketId("t")
    reducer.reduce(state, events.QueryArrived(ticket, query, WAIT), NOW)
    emitted = reducer.reduce(state, events.JobRead(ticket, rows), NOW)
    answers = [getattr(effect, "answer", None) for effect in emitted]
    running = messages.JobState.RUNNING
    assert messages.Answer(messages.Verdict.STATE, running) in answers


def build_report(ends: int, left_out_end: int) -> messages.Report:
    """Returns a report of which one end is of a job that was left out."""
    other_task = runs.TaskRef(OTHER.job_id, 0, 0, 0)
    left_out_task = runs.TaskRef(JOB.job_id, 0, 0, 0)
    rows = tuple(
        runs.EndRow(
            runs.EndNumber(number),
            runs.RunRef(
                left_out_task if number == left_out_end else other_task,
                runs.RunNumber(1),
            ),
            runs.RunEnd.DONE,
        )
        for number in range(1, ends + 1)
    )
    worker = builders.build_worker(runs.WorkerIncarnation("i-0", 1))
    endpoint = messages.Endpoint("10.0.0.1", 1)
    report = messages.Report(
        INSTANCE, ids.Incarnation(1), 1, endpoint, worker, ids.Epoch(1)
    )
    return msgspec.structs.replace(report, ends=rows)


@pytest.mark.parametrize(
    ("ends", "left_out_end", "acknowledged"),
    [
        (1, 1, 0),
        (3, 2, 1),
        (reports.MAX_HELD_ENDS, 2, 1),
        (reports.MAX_HELD_ENDS + 1, 2, reports.MAX_HELD_ENDS + 1),
    ],
)
def test_end_of_a_left_out_job_stays_listed_for_a_while(
    ends: int, left_out_end: int, acknowledged: int
) -> None:
    """Guards against a done run that no later holder learns of.

    Nor may it fill up the worker's list, which the other jobs need.
    """
    state = load(build_rows(FAULTY_STEPS["unknown step"]))
    report = build_report(ends, left_out_end)
    reducer.reduce(state, events.ReportArrived(ids.TicketId("t"), report), NOW)
    view = get_holder_state(state).agents[INSTANCE]
    assert view.acknowledged == acknowledged
