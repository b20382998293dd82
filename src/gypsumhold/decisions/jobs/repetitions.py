"""Steps of the repetitions of a job, and which of them are open."""

from gypsumhold.model.jobs import progress


def add_repetition(job: progress.Job) -> None:
    """Adds the steps of the next repetition to a job."""
    for number, spec in enumerate(job.spec.steps):
        tasks = [progress.Task() for _ in range(spec.count)]
        job.steps.append(
            progress.Step(spec, job.next_repetition, number, tasks)
        )
    job.next_repetition += 1


def open_steps(job: progress.Job) -> None:
    """Opens the steps whose predecessors are done."""
    steps_per_repetition = len(job.spec.steps)
    for step in job.steps:
        if step.open:
            continue
        first = step.repetition * steps_per_repetition
        step.open = all(
            job.steps[first + number].is_done() for number in step.spec.after
        )
