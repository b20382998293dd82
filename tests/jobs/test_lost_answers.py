"""Tests of answers that are lost after the call was carried out.

Pattern: each kind of call loses its answers, once and in series. Work that ran
isn't run again, and no caller is told that its job certainly never runs.
"""

import collections

import pytest

from gypsumhold.model.jobs import effects, messages, runs, specs
from tests.jobs import job_specs
from tests.jobs import world as worlds

JOB = specs.JobId("j")
TASKS = (3, 3)
SERIES = (1, 2, 5)
CALLS = (
    effects.WriteJob,
    effects.ReadJob,
    effects.WriteCancel,
    effects.CommitBatch,
    effects.TakeQueue,
    effects.LoadJobs,
    effects.RegisterEntry,
    effects.ReadHolder,
    effects.ForwardQuery,
    effects.NotifyHolder,
    effects.SendReport,
    effects.PushDirectives,
    effects.PollWorker,
    effects.StartRun,
    effects.StopRun,
)


@pytest.mark.parametrize("lost", SERIES)
@pytest.mark.parametrize("kind", CALLS, ids=lambda kind: kind.__name__)
def test_lost_answers_repeat_no_work(kind: type, lost: int) -> None:
    """Guards against work that is run again after a lost answer."""
    world = worlds.World(lost)
    world.scripted_faults[kind] = ["lost"] * lost
    world.run(6000)
    world.scripted_faults[kind] = ["lost"] * lost
    ticket = world.submit("entry-1", job_specs.build_job(JOB, TASKS))
    world.run(30_000)
    verdict = world.verdicts[ticket].verdict
    if verdict is messages.Verdict.UNAVAILABLE and kind is effects.ReadHolder:
        # Without reads the store counts as unreachable, so nothing was written.
        assert JOB not in world.store.jobs
        return
    assert verdict in (messages.Verdict.ACCEPTED, messages.Verdict.UNKNOWN)
    assert world.store.progress[JOB].state is messages.JobState.COMPLETED
    finished = collections.Counter(
        end.ref.task
        for worker in world.workers.values()
        for end in worker.finished
        if end.end is runs.RunEnd.DONE
    )
    assert len(finished) == sum(TASKS)
    assert set(finished.values()) == {1}


@pytest.mark.parametrize("lost", SERIES)
@pytest.mark.parametrize(
    "kind",
    [effects.WriteJob, effects.ForwardQuery],
    ids=lambda kind: kind.__name__,
)
def test_job_that_may_be_stored_is_not_refused(kind: type, lost: int) -> None:
    """Guards against "it never runs" for a job that runs.

    The entry is cut off from the store after its write was carried out.
    """
    world = worlds.World(10 + lost)
    world.run(6000)
    world.scripted_faults[kind] = ["lost"] * lost
    entry = world.nodes["entry-1"]
    ticket = world.submit("entry-1", job_specs.build_job(JOB, TASKS))
    world.run(40)
    entry.cut_store = True
    world.run(10_000)
    verdict = world.verdicts[ticket].verdict
    if JOB in world.store.jobs:
        assert verdict is not messages.Verdict.UNAVAILABLE
