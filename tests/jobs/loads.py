"""Loads of the large world: which jobs are submitted, and when.

Each keeps under half of the capacity in use once the submissions are over.
"""

import abc
import dataclasses
import random
from collections.abc import Iterator

import msgspec

from gypsumhold.model.jobs import specs
from tests.jobs import job_specs, tail_latency

Submission = tuple[float, specs.JobSpec]
"""Time after the start of the load, in ms, and the job. Its `submitted_ms` is
relative to that time; it is negative for a job that comes late."""

StepTuple = tuple[specs.StepSpec, ...]

IMAGES = 7


SHORT_MS = (300, 1500)
"""Least and largest run time of most steps."""


def build_chain(
    source: random.Random,
    widths: list[int],
    step: specs.StepSpec,
    times_ms: tuple[int, int] = SHORT_MS,
) -> StepTuple:
    """Returns steps that run one after another; tasks of a step are alike."""
    return tuple(
        msgspec.structs.replace(
            step,
            count=width,
            estimate_ms=source.randint(*times_ms),
            after=(number - 1,) if number else (),
        )
        for number, width in enumerate(widths)
    )


class Load(abc.ABC):
    """What callers submit."""

    @abc.abstractmethod
    def list_submissions(
        self, source: random.Random, agents: int
    ) -> Iterator[Submission]:
        """Yields the submissions for a site of this many workers."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShortSteps(Load):
    """Many jobs of two or three steps with a few short tasks each."""

    jobs_per_agent: int = 4
    duration_ms: float = 12_000.0
    requests_millis: tuple[int, ...] = (500, 1000, 1900)

    def list_submissions(
        self, source: random.Random, agents: int
    ) -> Iterator[Submission]:
        for number in range(self.jobs_per_agent * agents):
            widths = [
                source.randint(1, 8) for _ in range(source.choice((2, 2, 3)))
            ]
            step = specs.StepSpec(1, source.choice(self.requests_millis), 1000)
            spec = job_specs.build_job_of(
                f"short-{number:04}", build_chain(source, widths, step)
            )
            yield source.uniform(0, self.duration_ms), spec


class Waves(Load):
    """Jobs whose steps end at the same time, wave after wave."""

    waves = 4
    wave_ms = 3500.0
    jobs_per_agent = 1

    def list_submissions(
        self, source: random.Random, agents: int
    ) -> Iterator[Submission]:
        for number in range(self.waves * self.jobs_per_agent * agents):
            first = specs.StepSpec(source.randint(1, 4), 1000, 1000)
            first = msgspec.structs.replace(first, estimate_ms=1500)
            second = msgspec.structs.replace(first, after=(0,))
            third = msgspec.structs.replace(first, after=(1,))
            spec = job_specs.build_job_of(
                f"wave-{number:04}", (first, second, third)
            )
            yield number % self.waves * self.wave_ms, spec


class BestEffort(Load):
    """Best-effort jobs beside serving tasks on every worker."""

    jobs_per_agent = 2
    duration_ms = 10_000.0

    def list_submissions(
        self, source: random.Random, agents: int
    ) -> Iterator[Submission]:
        yield 0.0, build_serving_job(agents)
        for number in range(self.jobs_per_agent * agents):
            step = build_best_effort_step(1, number)
            widths = [source.randint(1, 20), source.randint(1, 20)]
            spec = job_specs.build_job_of(
                f"fills-{number:04}", build_chain(source, widths, step)
            )
            yield source.uniform(1500, self.duration_ms), spec


class Crowd(Load):
    """More best-effort jobs than fit beside the serving tasks.

    The policy delays most of their tasks, so each job lives on the one run that
    it gets in any case.
    """

    jobs_per_agent = 7
    duration_ms = 6000.0

    def list_submissions(
        self, source: random.Random, agents: int
    ) -> Iterator[Submission]:
        yield 0.0, build_serving_job(agents)
        for number in range(self.jobs_per_agent * agents):
            step = build_best_effort_step(source.randint(4, 10), number)
            widths = [source.randint(4, 10), source.randint(4, 10)]
            spec = job_specs.build_job_of(
                f"crowd-{number:04}", build_chain(source, widths, step)
            )
            yield source.uniform(1500, self.duration_ms), spec


def build_best_effort_step(tasks: int, number: int) -> specs.StepSpec:
    return specs.StepSpec(
        tasks,
        3500,
        3000,
        fills=True,
        checkpoints=True,
        image=specs.Image(f"best-effort-{number % IMAGES}"),
    )


def build_serving_job(agents: int) -> specs.JobSpec:
    step = specs.StepSpec(
        agents * 2,
        6000,
        6000,
        estimate_ms=1000,
        long_running=True,
        target_latency_ms=50,
        image=specs.Image("serving"),
    )
    return job_specs.build_job_of("serving", (step,))


@dataclasses.dataclass(frozen=True, slots=True)
class Slowing(Load):
    """Best-effort jobs that slow the serving tasks of most workers down.

    A run of them may stand still for as long as its worker serves. Some were
    submitted long ago, so that they give way to the others.
    """

    jobs_per_agent: float = 1.5
    duration_ms: float = 6000.0
    served_share: float = 0.85
    late_share: float = 0.5
    max_age_ms: int = 60_000
    times_ms: tuple[int, int] = SHORT_MS
    images: tuple[specs.Image, ...] = (
        tail_latency.HEAVY,
        tail_latency.EXTREME,
        tail_latency.EXTREME,
    )

    def list_submissions(
        self, source: random.Random, agents: int
    ) -> Iterator[Submission]:
        yield 0.0, self._build_serving_job(agents)
        for number in range(int(self.jobs_per_agent * agents)):
            step = specs.StepSpec(
                1,
                source.choice((2000, 3500, 4000)),
                source.choice((3000, 5776)),
                fills=True,
                checkpoints=source.random() < 0.8,
                image=source.choice(self.images),
            )
            widths = [source.randint(1, 4), source.randint(1, 4)]
            spec = job_specs.build_job_of(
                f"slowing-{number:04}",
                build_chain(source, widths, step, self.times_ms),
            )
            if source.random() < self.late_share:
                age_ms = source.randint(self.max_age_ms // 2, self.max_age_ms)
                spec = msgspec.structs.replace(spec, submitted_ms=-age_ms)
            yield source.uniform(1500, self.duration_ms), spec

    def _build_serving_job(self, agents: int) -> specs.JobSpec:
        step = specs.StepSpec(
            int(agents * self.served_share),
            6000,
            6000,
            estimate_ms=1000,
            long_running=True,
            max_per_worker=1,
            target_latency_ms=50,
            image=tail_latency.SENSITIVE,
        )
        return job_specs.build_job_of("serving", (step,))


class Gangs(Load):
    """Jobs whose second step is a gang, beside jobs of short steps."""

    jobs_per_agent = 1
    duration_ms = 10_000.0

    def list_submissions(
        self, source: random.Random, agents: int
    ) -> Iterator[Submission]:
        yield from ShortSteps().list_submissions(source, agents)
        for number in range(self.jobs_per_agent * agents):
            first = specs.StepSpec(source.randint(1, 3), 1000, 1000)
            first = msgspec.structs.replace(
                first, estimate_ms=source.randint(300, 1500)
            )
            gang = msgspec.structs.replace(
                first,
                count=source.randint(2, 8),
                cpu_millis=4000,
                after=(0,),
                gang=True,
                colocated=source.random() < 0.5,
                max_per_worker=source.choice((0, 1)),
            )
            spec = job_specs.build_job_of(f"gang-{number:04}", (first, gang))
            yield source.uniform(0, self.duration_ms), spec


class WideSteps(Load):
    """Jobs with hundreds of tasks in a step, beside jobs of short steps."""

    wide_jobs = 6
    duration_ms = 8000.0

    def list_submissions(
        self, source: random.Random, agents: int
    ) -> Iterator[Submission]:
        yield from ShortSteps().list_submissions(source, agents)
        for number in range(self.wide_jobs):
            step = specs.StepSpec(1, 500, 200)
            widths = [source.randint(200, 700), source.randint(200, 700)]
            spec = job_specs.build_job_of(
                f"wide-{number:04}", build_chain(source, widths, step)
            )
            yield source.uniform(0, self.duration_ms), spec


class Mixed(Load):
    """All kinds of jobs at once."""

    def list_submissions(
        self, source: random.Random, agents: int
    ) -> Iterator[Submission]:
        yield from Waves().list_submissions(source, agents)
        yield from BestEffort().list_submissions(source, agents)
        yield from Gangs().list_submissions(source, agents)


LOADS: dict[str, Load] = {
    "short": ShortSteps(),
    "rush": ShortSteps(16, 8000.0, (200, 400)),
    "waves": Waves(),
    "fills": BestEffort(),
    "crowd": Crowd(),
    "slowing": Slowing(),
    "slowing-long": Slowing(times_ms=(1500, 6000)),
    "gangs": Gangs(),
    "wide": WideSteps(),
    "mixed": Mixed(),
}
