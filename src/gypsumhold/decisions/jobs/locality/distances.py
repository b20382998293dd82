"""How far a task is from its data and from the rest of its gang."""

from collections.abc import Iterable

from gypsumhold.decisions.jobs import capacity
from gypsumhold.model import ids
from gypsumhold.model.jobs import (
    locality,
    policies,
    progress,
    scheduler,
    specs,
)


def has_near_rack(spec: specs.StepSpec) -> bool:
    """Tells whether the tasks of a step are faster on some racks."""
    return bool(spec.data_rack) or is_grouped(spec)


def is_grouped(spec: specs.StepSpec) -> bool:
    """Tells whether the tasks of a step are faster on one rack together."""
    return spec.gang and spec.colocated


def list_racks(candidates: Iterable[policies.Candidate]) -> set[ids.Rack]:
    """Returns the racks of candidates; an empty one stands for no rack."""
    return {ids.Rack(capacity.find_rack(item)) for item in candidates}


def are_near(spec: specs.StepSpec, racks: set[ids.Rack]) -> bool:
    """Tells whether the tasks of a step run at full speed on these racks."""
    is_at_data = not spec.data_rack or racks == {spec.data_rack}
    return is_at_data and (not is_grouped(spec) or len(racks) <= 1)


def measure_slowdown(
    holder_state: scheduler.HolderState,
    step: progress.Step,
    task: progress.Task,
    off_rack_slowdown: float,
) -> float:
    """Returns the factor on the run time of a task where it is placed.

    A gang works at the pace of its slowest task. The rack of an instance that
    has not reported is unknown, and counts as near.
    """
    spec = step.spec
    if not has_near_rack(spec) or off_rack_slowdown <= locality.NO_SLOWDOWN:
        return locality.NO_SLOWDOWN
    racks = {
        ids.Rack(capacity.find_rack_label(view.report.worker.labels))
        for member in step.list_unit(task)
        if (view := holder_state.agents.get(member.instance)) is not None
        and view.report.worker is not None
    }
    if not racks or are_near(spec, racks):
        return locality.NO_SLOWDOWN
    return off_rack_slowdown
