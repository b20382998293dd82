"""Requests of tasks for which a plan has found no worker."""

import dataclasses

from gypsumhold.model.jobs import progress, specs


@dataclasses.dataclass(frozen=True, slots=True)
class _Kind:
    """What decides, beside the amounts, on which workers a task may run."""

    pool: specs.PoolName
    label: str
    fills: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Amounts:
    cpu_millis: int
    memory_mb: int
    accelerators: int

    def is_within(self, other: "_Amounts") -> bool:
        return (
            self.cpu_millis <= other.cpu_millis
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )


class UnmetRequests:
    """Remembers requests that no worker has capacity for.

    Capacity only shrinks while a plan is made, so a request that is as large
    finds no worker either, and need not be compared with each of them.
    """

    def __init__(self) -> None:
        """Begins without any request."""
        self._smallest: dict[_Kind, list[_Amounts]] = {}

    def add(self, job: progress.Job, step: progress.Step) -> None:
        """Records that no worker has capacity for a task of a step.

        Not for steps with a limit on the tasks of a worker or with suspects,
        which workers don't take for other reasons.
        """
        if step.spec.max_per_worker or step.has_suspects():
            return
        amounts = _read_amounts(step.spec)
        kind = _read_kind(job, step)
        smallest = self._smallest.get(kind, [])
        self._smallest[kind] = [
            other for other in smallest if not amounts.is_within(other)
        ] + [amounts]

    def has_any(self) -> bool:
        """Tells whether there is any."""
        return bool(self._smallest)

    def covers(self, job: progress.Job, step: progress.Step) -> bool:
        """Tells whether no worker has capacity for a task of a step."""
        smallest = self._smallest.get(_read_kind(job, step))
        if smallest is None:
            return False
        amounts = _read_amounts(step.spec)
        is_unmet = any(other.is_within(amounts) for other in smallest)
        return is_unmet and not step.has_suspects()


def _read_kind(job: progress.Job, step: progress.Step) -> _Kind:
    return _Kind(job.spec.queue.pool, step.spec.label, step.spec.fills)


def _read_amounts(spec: specs.StepSpec) -> _Amounts:
    """Returns what a task reserves; best-effort tasks reserve no CPU."""
    return _Amounts(
        0 if spec.fills else spec.cpu_millis,
        spec.memory_mb,
        spec.accelerators,
    )
