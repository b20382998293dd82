"""A model of a queue of large best-effort jobs that share a number of cores.

The jobs are ordered, forecast and admitted by the policies of the scheduler.
The model leaves out placement and interference: a task works at full speed as
soon as its turn comes, and is halted when others come first.

`python -m tests.jobs.overload_model` prints the figures of the design note on
admission.
"""

import dataclasses
import datetime
import heapq
import math
import random
import statistics
from collections.abc import Callable, Sequence

from gypsumhold.decisions.jobs import estimates, ordering
from gypsumhold.decisions.jobs.overload import admission, forecasts, shares
from gypsumhold.model import ids
from gypsumhold.model.jobs import forecasts as forecast_types
from gypsumhold.model.jobs import policies, progress, records, specs

ESTIMATES = estimates.LearnedEstimates()
QUEUE = specs.Queue(
    specs.QueueName("large"),
    "host",
    "/large/",
    specs.PoolName("pool"),
    stretch=2.0,
    latency_target_ms=1000,
)
TICK_S = 0.1
DAY_S = 38.0
END_S = 62.0
BURST_S = (8.0, 13.0)
BURST_FACTOR = 2.5
JOBS_PER_S = 1.09
MAX_RETRIES = 4
STRAGGLERS = 0.04
STRAGGLER_FACTOR = 2.5


@dataclasses.dataclass(slots=True)
class ModelJob:
    """A job, and the true run times that the scheduler does not know.

    Times are in seconds.
    """

    job: progress.Job
    asked_s: float
    run_times: list[list[float]]
    left: list[list[float]]
    ended_s: float = math.inf
    refusals: int = 0
    refused: bool = False

    def measure_objective(self) -> float:
        chain = sum(max(step) for step in self.run_times)
        return chain * QUEUE.stretch + QUEUE.latency_target_ms / 1000

    def measure_work(self) -> float:
        return sum(
            sum(times) * step.spec.cpu_millis / 1000
            for times, step in zip(self.run_times, self.job.steps, strict=True)
        )

    def takes(self, objectives: float) -> bool:
        """Tells whether it ended within so many times its objective."""
        return self.ended_s - self.asked_s <= self.measure_objective() * (
            objectives
        )


def draw(
    source: random.Random, mean: float, spread: float, most: float
) -> float:
    """Returns a log-normal number of a mean and a relative spread."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    return min(most, mean * math.exp(source.gauss(-sigma * sigma / 2, sigma)))


def build_job(source: random.Random, number: int, asked_s: float) -> ModelJob:
    steps, run_times = [], []
    for step in range(max(1, round(draw(source, 2, 0.4, 5)))):
        width = max(1, round(draw(source, 20, 0.6, 80)))
        typical = draw(source, 4.4, 0.5, 10.8)
        declared = typical * math.exp(source.gauss(0, 0.45))
        steps.append(
            specs.StepSpec(
                width,
                int(draw(source, 3500, 0.3, 7000)),
                estimate_ms=int(declared * 1000),
                after=(step - 1,) if step else (),
                fills=True,
                checkpoints=True,
            )
        )
        run_times.append(
            [
                typical
                * draw(source, 1, 0.15, 3)
                * (STRAGGLER_FACTOR if source.random() < STRAGGLERS else 1)
                for _ in range(width)
            ]
        )
    spec = specs.JobSpec(specs.JobId(f"{number}"), QUEUE, "", tuple(steps), 0)
    job = progress.Job(spec, datetime.timedelta(seconds=asked_s))
    job.steps = [
        progress.Step(
            step, 0, index, [progress.Task() for _ in range(step.count)]
        )
        for index, step in enumerate(steps)
    ]
    job.steps[0].open = True
    left = [list(times) for times in run_times]
    return ModelJob(job, asked_s, run_times, left)


def build_burst(seed: int) -> list[ModelJob]:
    """Returns the jobs of a day on which far more come for five seconds."""
    source, now_s = random.Random(seed), 0.0
    jobs: list[ModelJob] = []
    while now_s < DAY_S:
        in_burst = BURST_S[0] <= now_s < BURST_S[1]
        factor = BURST_FACTOR if in_burst else 1.0
        now_s += source.expovariate(JOBS_PER_S * factor)
        jobs.append(build_job(source, len(jobs), now_s))
    return jobs


class Model:
    """Plays a day."""

    def __init__(
        self,
        jobs: Sequence[ModelJob],
        cores: float,
        admit: policies.AdmissionPolicy,
        order: policies.OrderingPolicy,
    ) -> None:
        self._cores = cores
        self._admit = admit
        self._order = order
        self._source = random.Random(1)
        self._waiting = [(job.asked_s, n, job) for n, job in enumerate(jobs)]
        heapq.heapify(self._waiting)
        self._open: dict[str, ModelJob] = {}
        self._shares: dict[forecast_types.ShareKey, forecast_types.Share] = {}

    def play(self) -> None:
        for tick in range(round(END_S / TICK_S)):
            now_s = tick * TICK_S
            self._submit(now_s)
            self._work(now_s)

    def _submit(self, now_s: float) -> None:
        now = datetime.timedelta(seconds=now_s)
        while self._waiting and self._waiting[0][0] <= now_s:
            _, number, item = heapq.heappop(self._waiting)
            forecast = forecast_types.Forecast(
                ids.Epoch(1),
                now,
                forecasts.forecast_queues(
                    [other.job for other in self._open.values()], now, ESTIMATES
                ),
            )
            decision = self._admit.decide(
                forecast_types.AdmissionInputs(
                    item.job.spec,
                    forecast,
                    now,
                    self._shares,
                    self._source.random(),
                )
            )
            accepted = decision.retry_delay is None
            shares.record(self._shares, decision, accepted=accepted)
            if decision.retry_delay is None:
                item.job.submitted_at = now
                self._open[item.job.spec.job_id] = item
            elif item.refusals < MAX_RETRIES:
                item.refusals += 1
                retry_s = now_s + decision.retry_delay.total_seconds()
                heapq.heappush(self._waiting, (retry_s, number, item))
            else:
                item.refused = True

    def _work(self, now_s: float) -> None:
        free = self._cores
        now = datetime.timedelta(seconds=now_s)
        jobs = [item.job for item in self._open.values()]
        for job in self._order.sort(jobs, now):
            item = self._open[job.spec.job_id]
            for step, left, run_times in zip(
                job.steps, item.left, item.run_times, strict=True
            ):
                if not step.open:
                    continue
                cores = step.spec.cpu_millis / 1000
                for index, task in enumerate(step.tasks):
                    if task.is_done():
                        continue
                    runs = free >= cores
                    free -= cores if runs else 0
                    work_on(task, left, run_times, index, runs=runs)
            if all(step.is_done() for step in job.steps):
                item.ended_s = now_s + TICK_S
                del self._open[job.spec.job_id]
                continue
            for before, step in zip(job.steps, job.steps[1:], strict=False):
                step.open = before.is_done()


def work_on(
    task: progress.Task,
    left: list[float],
    run_times: list[float],
    index: int,
    *,
    runs: bool,
) -> None:
    """Lets a task work for a tick, or halts it."""
    task.state, task.reported = records.TaskState.PLACED, True
    task.age = datetime.timedelta(0)
    task.speed_share = float(runs)
    left[index] -= TICK_S * runs
    done = 1 - max(0.0, left[index]) / run_times[index]
    task.progress_percent = int(done * 100)
    if task.progress_percent >= estimates.MIN_MEASURED_PERCENT:
        task.measured_time = datetime.timedelta(seconds=run_times[index])
    if left[index] <= 0:
        task.state = records.TaskState.DONE


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of the jobs of a day, as shares of those asked.

    Attributes:
        on_time: Ended within the objective.
        late: Ended within three times the objective, but not on time.
        refused: Refused at each attempt.
        served: Ended on time or late.
        largest_served: The same of the largest tenth.
        median_s: Median time to the end of those served.
    """

    on_time: float
    late: float
    refused: float
    served: float
    largest_served: float
    median_s: float


def judge(jobs: Sequence[ModelJob]) -> Outcome:
    by_size = sorted(jobs, key=ModelJob.measure_work, reverse=True)
    largest = by_size[: max(1, len(jobs) // 10)]
    served = [job for job in jobs if job.takes(ordering.LATE_FACTOR)]
    on_time = sum(job.takes(1) for job in jobs) / len(jobs)
    return Outcome(
        on_time,
        len(served) / len(jobs) - on_time,
        sum(job.refused for job in jobs) / len(jobs),
        len(served) / len(jobs),
        sum(job.takes(ordering.LATE_FACTOR) for job in largest) / len(largest),
        statistics.median(job.ended_s - job.asked_s for job in served),
    )


def play(
    seed: int,
    cores: float,
    admit: policies.AdmissionPolicy,
    order: policies.OrderingPolicy | None = None,
) -> Outcome:
    jobs = build_burst(seed)
    chosen = order or ordering.ByObjective(ESTIMATES)
    Model(jobs, cores, admit, chosen).play()
    return judge(jobs)


def average(outcomes: Sequence[Outcome]) -> Outcome:
    return Outcome(
        *(
            statistics.fmean(values)
            for values in zip(*map(dataclasses.astuple, outcomes), strict=True)
        )
    )


def main() -> None:
    admits: dict[str, Callable[[], policies.AdmissionPolicy]] = {
        "accept-all": admission.AcceptAll,
        "refuse-useless": admission.RefuseUseless,
    }
    orders = {
        "by objective": ordering.ByObjective(ESTIMATES),
        "first come": ordering.FirstComeFirstServed(),
    }
    print(
        "cores  order         admission       on time  late  refused  served"
        "  largest tenth  median s"
    )
    for cores in (200.0, 400.0, 670.0):
        for order_name, order in orders.items():
            for name, admit in admits.items():
                mean = average(
                    [play(seed, cores, admit(), order) for seed in range(8)]
                )
                print(
                    f"{cores:5.0f}  {order_name:12}  {name:14}"
                    f"  {mean.on_time:7.2f}  {mean.late:4.2f}"
                    f"  {mean.refused:7.2f}  {mean.served:6.2f}"
                    f"  {mean.largest_served:13.2f}  {mean.median_s:8.1f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
