"""Reads off a simulated deployment what its workers run."""

from tests.jobs import world as worlds


def count_running(world: worlds.World, job: str) -> int:
    """Returns how many tasks of a job run on workers now."""
    for worker in world.workers.values():
        worker.advance(world.now_ms)
    return sum(
        ref.job_id == job
        for worker in world.workers.values()
        for ref in worker.running
    )
