"""Starts tasks that may crash their worker where little is lost.

A task under which a worker has crashed is started on probation: no other task
starts on its worker at the same time, so that a second crash there can only be
its fault. The tasks of a gang are on probation together.
"""

import datetime
from collections.abc import Mapping, Sequence

from gypsumhold.model.jobs import policies, progress, scheduler

PROBATION_TIME = datetime.timedelta(milliseconds=500)
"""Time for which a task has to run until others may start on its worker."""

RESERVATION_TIME = 2 * PROBATION_TIME
"""Time for which a worker takes no other task, until a suspect starts there."""

WORKERS_PER_PROBATION = 3
"""Workers for each one with a task on probation; the rest takes new tasks."""


def refresh(
    view: scheduler.AgentView,
    candidate: policies.Candidate,
    now: datetime.timedelta,
) -> None:
    """Updates what a candidate says about starts and probations.

    A worker is not quiet while it runs a suspect that is not cleared: a crash
    would count against both.
    """
    view.probations = [
        probation
        for probation in view.probations
        if _is_uncleared(view, probation)
    ]
    candidate.on_probation = has_pending(view, now)
    candidate.reserved = now < view.reserved_until
    is_settled = now >= view.latest_start_at + PROBATION_TIME
    candidate.quiet = is_settled and not view.probations


def _is_uncleared(
    view: scheduler.AgentView, probation: scheduler.ProbationRun
) -> bool:
    """Tells whether a run goes on and its task is still a suspect."""
    placed = probation.placed
    task = placed.task
    is_current = task.is_placed() and task.run == probation.run
    is_here = is_current and task.instance == view.instance
    return is_here and placed.step.is_suspect(task)


def _is_pending(
    view: scheduler.AgentView,
    probation: scheduler.ProbationRun,
    now: datetime.timedelta,
) -> bool:
    """Tells whether a run has not yet passed its probation."""
    if not _is_uncleared(view, probation):
        return False
    listed_at = probation.placed.task.listed_at
    return listed_at is None or now < listed_at + PROBATION_TIME


def has_pending(view: scheduler.AgentView, now: datetime.timedelta) -> bool:
    """Tells whether a task is on probation on an instance."""
    return any(
        _is_pending(view, probation, now) for probation in view.probations
    )


def may_start(
    step: progress.Step,
    index: int,
    candidates: Mapping[str, policies.Candidate],
) -> bool:
    """Tells whether a task may start now as far as probations allow."""
    if not step.is_suspect(step.tasks[index]):
        return True
    pending = sum(candidate.on_probation for candidate in candidates.values())
    return pending < _get_limit(candidates)


def _get_limit(candidates: Mapping[str, policies.Candidate]) -> int:
    """Returns on how many workers tasks may be on probation at a time."""
    return max(1, len(candidates) // WORKERS_PER_PROBATION)


def reserve_worker(
    holder_state: scheduler.HolderState,
    candidates: Mapping[str, policies.Candidate],
    fitting: Sequence[policies.Candidate],
    now: datetime.timedelta,
) -> None:
    """Keeps other tasks off a worker, so that a suspect can start there.

    Args:
        holder_state: State of the held queue.
        candidates: All candidates.
        fitting: Those on which the suspect fits, none of which is quiet.
        now: Current time.
    """
    taken = sum(
        candidate.reserved or candidate.on_probation
        for candidate in candidates.values()
    )
    free = [candidate for candidate in fitting if not candidate.reserved]
    if not free or taken >= _get_limit(candidates):
        return
    chosen = min(free, key=_count_tasks)
    chosen.reserved = True
    view = holder_state.agents[chosen.instance]
    view.reserved_until = now + RESERVATION_TIME


def record_start(
    candidate: policies.Candidate, step: progress.Step, task: progress.Task
) -> None:
    """Records that a task is placed on a candidate during a plan."""
    candidate.quiet = False
    if step.is_suspect(task):
        candidate.on_probation = True


class LeastToLose(policies.PlacementPolicy):
    """Sends suspects to the quiet worker with the fewest tasks.

    Another policy chooses the workers of all other tasks.
    """

    def __init__(self, policy: policies.PlacementPolicy) -> None:
        """Creates a policy that asks `policy` about all other tasks."""
        self._policy = policy

    def rank(
        self,
        step: progress.Step,
        candidate: policies.Candidate,
        *,
        is_suspect: bool,
        deferred: bool,
    ) -> policies.Rank | None:
        """Returns the rank of a candidate, None for a suspect if not quiet."""
        rank = None
        if candidate.quiet or not is_suspect:
            rank = self._policy.rank(
                step, candidate, is_suspect=is_suspect, deferred=deferred
            )
        if rank is None or not is_suspect:
            return rank
        return (-_count_tasks(candidate),)


def _count_tasks(candidate: policies.Candidate) -> int:
    return sum(candidate.steps.values())
