"""How much of the fleet is placed, and how much of it runs."""

from gypsumhold.model.jobs import policies


def measure_placed_share(
    candidates: dict[str, policies.Candidate],
) -> float:
    """Returns the larger share of CPU and memory that placed tasks request."""
    workers = [candidate.worker for candidate in candidates.values()]
    cpu_millis = sum(worker.cpu_millis for worker in workers)
    memory_mb = sum(worker.memory_mb for worker in workers)
    free_millis = sum(item.cpu_millis for item in candidates.values())
    free_mb = sum(item.memory_mb for item in candidates.values())
    return 1 - min(
        free_millis / max(1, cpu_millis), free_mb / max(1, memory_mb)
    )


def measure_running_share(
    candidates: dict[str, policies.Candidate],
) -> float:
    """Returns the larger share of CPU and memory that workers run.

    Less than what is placed: where runs are short, the starts under way and the
    ends not yet reported may make up most of that.
    """
    workers = [candidate.worker for candidate in candidates.values()]
    cpu_millis = sum(worker.cpu_millis for worker in workers)
    memory_mb = sum(worker.memory_mb for worker in workers)
    running_millis = sum(item.running_millis for item in candidates.values())
    running_mb = sum(item.running_mb for item in candidates.values())
    return max(
        running_millis / max(1, cpu_millis), running_mb / max(1, memory_mb)
    )
