"""Tests that the oracle of waits reports what breaks the rule, no more."""

import pytest

from gypsumhold.model.jobs import messages, records, runs, specs
from tests.jobs import (
    job_specs,
    oracle,
    store_fake,
    tail_latency,
    wait_oracle,
    wait_rules,
    worker_fake,
    worker_speeds,
)

SAMPLE_MS = 50.0
LATE_MS = 20_000.0
MACHINE = worker_speeds.Machine(1.0, tail_latency.ServingLoad(), {})


class Site:
    """Two workers and a store without any process."""

    def __init__(self) -> None:
        self.store = store_fake.FakeStore()
        self.workers = {
            name: worker_fake.FakeWorker(name, 1, until_ms=10**9)
            for name in ("first", "second")
        }
        checks = oracle.Oracle(self.store, self.workers)
        self.waits = wait_oracle.WaitOracle(self.store, self.workers, checks)
        self.now_ms = 0.0

    def submit(self, *steps: specs.StepSpec) -> None:
        self.store.write_job(job_specs.build_job_of("j", steps))

    def start(
        self,
        step: int,
        cpu_millis: int = 1000,
        job: str = "j",
        for_ms: float = LATE_MS,
    ) -> None:
        """Starts a run, which ends as done, on the first worker."""
        task = runs.TaskRef(specs.JobId(job), 0, step, 0)
        ref = runs.RunRef(task, runs.RunNumber(1))
        self.workers["first"].running[task] = worker_fake.FakeRun(
            ref, self.now_ms + for_ms, runs.RunEnd.DONE, cpu_millis
        )

    def start_with_speed(self, instance: str = "first") -> runs.RunRef:
        """Starts a best-effort run of the first task, which has a speed."""
        task = runs.TaskRef(specs.JobId("j"), 0, 0, 0)
        ref = runs.RunRef(task, runs.RunNumber(1))
        command = runs.StartCommand(
            ref, "", runs.Checkpoint(""), 1000, 1000, 0, best_effort=True
        )
        worker = self.workers[instance]
        worker.work_model = worker_speeds.VaryingSpeeds(MACHINE, lambda _: True)
        run = worker_fake.FakeRun(
            ref, self.now_ms + LATE_MS, runs.RunEnd.DONE, 0
        )
        worker.running[task] = run
        worker.work_model.begin(run, command, self.now_ms)
        return ref

    def sample(self, for_ms: float) -> None:
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += SAMPLE_MS
            self.waits.sample(self.now_ms)


def build_step(cpu_millis: int = 1000, count: int = 1) -> specs.StepSpec:
    return specs.StepSpec(count, cpu_millis, 1000)


def test_job_that_nobody_starts_is_reported() -> None:
    site = Site()
    site.submit(build_step())
    site.sample(wait_oracle.MAX_WAIT_MS)
    assert site.waits.violations == {}
    site.sample(2 * SAMPLE_MS)
    assert list(site.waits.violations) == ["j"]
    wait = site.waits.violations[specs.JobId("j")]
    assert wait.task == runs.TaskRef(specs.JobId("j"), 0, 0, 0)
    assert wait.measure_ms() > wait_oracle.MAX_WAIT_MS


def test_second_step_counts_from_the_end_on_the_worker() -> None:
    """Guards against an oracle that believes the holder about an end."""
    site = Site()
    first = build_step()
    site.submit(first, specs.StepSpec(1, 1000, 1000, after=(0,)))
    site.start(step=0, for_ms=1000)
    site.sample(1000 + wait_oracle.MAX_WAIT_MS - SAMPLE_MS)
    assert site.waits.violations == {}
    site.sample(3 * SAMPLE_MS)
    wait = site.waits.violations[specs.JobId("j")]
    assert wait.task.step == 1
    assert wait.since_ms == 1000


def test_task_whose_turn_has_not_come_is_not_reported() -> None:
    site = Site()
    site.submit(build_step(), specs.StepSpec(1, 1000, 1000, after=(0,)))
    site.start(step=0)
    site.sample(2 * wait_oracle.MAX_WAIT_MS)
    assert site.waits.longest == {}


@pytest.mark.parametrize(
    ("cpu_millis", "is_reported"), [(8000, True), (8001, False)]
)
def test_task_needs_capacity_twice_over(
    cpu_millis: int, is_reported: bool
) -> None:
    """Each of the two workers has 8 cores."""
    site = Site()
    site.submit(build_step(cpu_millis))
    site.sample(2 * wait_oracle.MAX_WAIT_MS)
    assert bool(site.waits.violations) is is_reported


@pytest.mark.parametrize(
    ("used_millis", "is_reported"), [(7900, True), (8000, False)]
)
def test_wait_counts_while_under_half_is_in_use(
    used_millis: int, is_reported: bool
) -> None:
    site = Site()
    site.submit(build_step(1000))
    site.start(step=0, job="other", cpu_millis=used_millis)
    site.sample(2 * wait_oracle.MAX_WAIT_MS)
    assert bool(site.waits.violations) is is_reported


def test_wait_ends_while_there_is_no_capacity() -> None:
    """Guards against two short waits that count as one."""
    site = Site()
    site.submit(build_step(8000))
    site.sample(2000)
    site.workers["second"].draining = True
    site.sample(SAMPLE_MS)
    site.workers["second"].draining = False
    site.sample(2000)
    assert site.waits.violations == {}


def test_worker_that_is_down_has_no_capacity() -> None:
    site = Site()
    site.submit(build_step(8000))
    site.workers["second"].restart(0.0, LATE_MS)
    site.sample(2 * wait_oracle.MAX_WAIT_MS)
    assert site.waits.violations == {}


@pytest.mark.parametrize("ends_by", ["end", "cancellation"])
def test_job_that_has_ended_is_not_reported(ends_by: str) -> None:
    site = Site()
    site.submit(build_step())
    if ends_by == "end":
        site.store.progress[specs.JobId("j")] = records.ProgressRecord(
            records.FORMAT, messages.JobState.COMPLETED, ()
        )
    else:
        site.store.write_cancel(specs.JobId("j"))
    site.sample(2 * wait_oracle.MAX_WAIT_MS)
    assert site.waits.violations == {}


def test_end_that_a_restart_loses_does_not_count() -> None:
    """Guards against a step that counts as done although it runs again."""
    site = Site()
    site.submit(build_step(), specs.StepSpec(1, 1000, 1000, after=(0,)))
    site.start(step=0, for_ms=500)
    site.sample(600)
    site.workers["first"].restart(site.now_ms, 0.0)
    site.sample(2 * wait_oracle.MAX_WAIT_MS)
    wait = site.waits.violations[specs.JobId("j")]
    assert wait.task.step == 0


@pytest.mark.parametrize("is_full", [False, True])
def test_each_lasting_task_is_judged(is_full: bool) -> None:
    """Guards against a lasting task hidden by others or by a full fleet."""
    site = Site()
    lasting = specs.StepSpec(2, 1000, 1000, long_running=True)
    site.submit(lasting)
    site.start(step=0)
    if is_full:
        site.start(step=0, job="other", cpu_millis=6900)
        site.workers["second"].cpu_millis = 2000
    site.sample(wait_oracle.LASTING_GRACE_MS + wait_oracle.MAX_WAIT_MS)
    assert site.waits.violations == {}
    site.sample(3 * SAMPLE_MS)
    task = runs.TaskRef(specs.JobId("j"), 0, 0, 1)
    assert list(site.waits.violations) == [task]


def test_gang_needs_capacity_for_all_its_tasks_twice() -> None:
    site = Site()
    site.submit(specs.StepSpec(3, 4000, 1000, gang=True))
    site.sample(2 * wait_oracle.MAX_WAIT_MS)
    assert site.waits.violations == {}
    site.workers["third"] = worker_fake.FakeWorker("third", 1)
    site.sample(2 * wait_oracle.MAX_WAIT_MS)
    assert list(site.waits.violations) == ["j"]


def test_label_limits_the_capacity() -> None:
    site = Site()
    site.submit(specs.StepSpec(1, 5000, 1000, label="special"))
    site.workers["first"].labels = ("special", "r1-1")
    site.sample(2 * wait_oracle.MAX_WAIT_MS)
    assert site.waits.violations == {}
    site.workers["second"].labels = ("special", "r1-2")
    site.sample(2 * wait_oracle.MAX_WAIT_MS)
    assert list(site.waits.violations) == ["j"]


def test_end_that_was_lost_before_the_first_sample_does_not_count() -> None:
    """Guards against a job that is not judged although its task runs again."""
    site = Site()
    site.submit(build_step())
    site.start(step=0, for_ms=500)
    first = site.workers["first"]
    first.advance(600)
    first.restart(600, 0.0)
    site.now_ms = 600
    site.sample(2 * wait_oracle.MAX_WAIT_MS)
    assert list(site.waits.violations) == ["j"]


@pytest.mark.parametrize("is_sampled", [False, True])
def test_lost_end_counts_for_good_as_for_the_platform(
    is_sampled: bool,
) -> None:
    """Guards against a second step that counts as not due on a lost end.

    The end is lost before the first sample, or after it.
    """
    site = Site()
    site.waits.lost_ends = wait_rules.LostEnds.DONE
    site.submit(build_step(), specs.StepSpec(1, 1000, 1000, after=(0,)))
    site.start(step=0, for_ms=500)
    if is_sampled:
        site.sample(600)
    site.now_ms = 600
    first = site.workers["first"]
    first.advance(site.now_ms)
    first.restart(site.now_ms, 0.0)
    site.sample(2 * wait_oracle.MAX_WAIT_MS)
    wait = site.waits.violations[specs.JobId("j")]
    assert wait.task.step == 1


@pytest.mark.parametrize("counts_for_good", [False, True])
def test_second_run_of_a_done_task_does_not_count_as_work(
    counts_for_good: bool,
) -> None:
    """Guards against a run whose work is lost that hides an idle job."""
    site = Site()
    site.waits.run_rule = wait_rules.WorkingRun()
    if counts_for_good:
        site.waits.lost_ends = wait_rules.LostEnds.DONE
    site.submit(build_step(), specs.StepSpec(1, 1000, 1000, after=(0,)))
    site.start(step=0, for_ms=500)
    site.sample(600)
    first = site.workers["first"]
    first.restart(site.now_ms, 0.0)
    first.until_ms = 10**9
    site.start(step=0)
    site.sample(2 * wait_oracle.MAX_WAIT_MS)
    assert bool(site.waits.violations) is counts_for_good


@pytest.mark.parametrize(
    ("percent", "is_reported"), [(0, True), (9, True), (10, False)]
)
def test_run_that_hardly_works_is_reported(
    percent: int, is_reported: bool
) -> None:
    """Guards against a run that stands still and hides that its job does."""
    site = Site()
    site.waits.run_rule = wait_rules.WorkingRun()
    site.submit(build_step())
    ref = site.start_with_speed()
    site.workers["first"].work_model.throttle(ref, percent, site.now_ms)
    site.sample(wait_oracle.MAX_WAIT_MS)
    assert site.waits.violations == {}
    site.sample(worker_speeds.THROTTLE_DELAY_MS + 3 * SAMPLE_MS)
    assert bool(site.waits.violations) is is_reported


def test_run_that_works_now_and_then_is_not_reported() -> None:
    """Guards against short halts that count as one long one."""
    site = Site()
    site.waits.run_rule = wait_rules.WorkingRun()
    site.submit(build_step())
    ref = site.start_with_speed()
    for percent in (0, 50, 0, 50, 0):
        site.workers["first"].work_model.throttle(ref, percent, site.now_ms)
        site.sample(wait_oracle.MAX_WAIT_MS - 500)
    assert site.waits.violations == {}


def test_halted_run_counts_without_the_rule() -> None:
    """Guards against a change of what the oracle reports by default."""
    site = Site()
    site.submit(build_step())
    ref = site.start_with_speed()
    site.workers["first"].work_model.throttle(ref, 0, site.now_ms)
    site.sample(2 * wait_oracle.MAX_WAIT_MS)
    assert site.waits.longest == {}


def test_halted_run_counts_in_a_fleet_half_full() -> None:
    """Guards against reports where the platform judges nothing."""
    site = Site()
    site.waits.run_rule = wait_rules.WorkingRun()
    site.submit(build_step())
    site.start(step=0, job="other", cpu_millis=8000)
    ref = site.start_with_speed("second")
    site.workers["second"].work_model.throttle(ref, 0, site.now_ms)
    site.sample(2 * wait_oracle.MAX_WAIT_MS)
    assert site.waits.longest == {}
