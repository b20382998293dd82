"""Builds the queue and the jobs of tests."""

from gypsumhold.model import ids
from gypsumhold.model.jobs import specs

QUEUE = specs.Queue(
    specs.QueueName("q"), "host", "/q/", specs.PoolName("pool"), 0, 3, 1.5, 300
)
CONFIG = specs.QueueConfig(ids.ConfigVersion(1), (QUEUE,))


def build_job(
    name: str, widths: tuple[int, ...], cpu_millis: int = 1000
) -> specs.JobSpec:
    """Returns a job whose steps run one after another."""
    steps = tuple(
        specs.StepSpec(
            width,
            cpu_millis,
            1000,
            estimate_ms=1000,
            after=(number - 1,) if number else (),
        )
        for number, width in enumerate(widths)
    )
    return build_job_of(name, steps)


def build_job_of(name: str, steps: tuple[specs.StepSpec, ...]) -> specs.JobSpec:
    """Returns a job with the given steps."""
    return specs.JobSpec(
        specs.JobId(name), QUEUE, f"payload of {name}", steps, 0
    )
