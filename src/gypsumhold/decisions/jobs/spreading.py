"""Where a task runs."""

from collections.abc import Sequence

from gypsumhold.decisions.jobs import capacity, pressures
from gypsumhold.model.jobs import policies, progress, specs


class FirstFit(policies.Placement):
    """Baseline: the first worker with room."""

    def choose(
        self,
        step: progress.Step,
        task: progress.Task,
        rooms: Sequence[policies.Room],
        *,
        yields: bool = False,
    ) -> policies.Room | None:
        """Returns the first room."""
        return rooms[0] if rooms else None


class Separate(policies.Placement):
    """Keeps fillers and serving tasks on different workers where it can.

    Some fillers slow some serving tasks down and are paced for that. So a
    filler goes first where it slows nobody down, serving tasks are packed by
    their image, and ordinary tasks fill their workers up. Each worker gets
    only as many fillers as can run at full speed.
    """

    def choose(
        self,
        step: progress.Step,
        task: progress.Task,
        rooms: Sequence[policies.Room],
        *,
        yields: bool = False,
    ) -> policies.Room | None:
        """Returns the best room, or None if the task has to wait."""
        if step.spec.fills:
            rooms = [
                room for room in rooms if may_fill(step, room, yields=yields)
            ]
        if not rooms:
            return None
        return max(rooms, key=lambda room: _rate(step, room))


def find_slowed(step: progress.Step, room: policies.Room) -> list[specs.Image]:
    """Returns the serving images that a filler would slow down here."""
    filler = step.spec.image
    return [
        serving
        for serving in room.serving
        if pressures.slows(room.known, serving, filler, pressures.HOPED)
    ]


def may_fill(
    step: progress.Step, room: policies.Room, *, yields: bool = False
) -> bool:
    """Tells whether a filler can run at full speed at most times.

    Args:
        step: Step of the filler.
        room: The room.
        yields: Whether it gives way to others.
    """
    more = step.spec.cpu_millis / pressures.CORE_MILLIS
    if capacity.measure_idle(room, yields=yields) < more:
        return False
    return all(
        _measure_left(step, room, serving, yields=yields) >= 0
        for serving in find_slowed(step, room)
    )


def _measure_left(
    step: progress.Step,
    room: policies.Room,
    serving: specs.Image,
    *,
    yields: bool,
) -> float:
    """Returns the headroom left to others beside one more filler."""
    spec = step.spec
    cores = capacity.measure_fillers(room, yields=yields)
    more = spec.cpu_millis / pressures.CORE_MILLIS
    cores[spec.image] = cores.get(spec.image, 0.0) + more
    allowed = room.allowed.get(serving, 0.0)
    return allowed - pressures.measure(
        room.known, serving, cores, pressures.HOPED
    )


def _rate(step: progress.Step, room: policies.Room) -> tuple[float, ...]:
    spec = step.spec
    near = bool(spec.data_rack) and capacity.read_rack(room) == spec.data_rack
    serves = bool(room.serving)
    idle = capacity.measure_idle(room)
    if spec.fills:
        slowed = find_slowed(step, room)
        left = min(
            (
                _measure_left(step, room, serving, yields=False)
                for serving in slowed
            ),
            default=0.0,
        )
        # Workers without serving tasks are left to fillers that fit nowhere
        # else.
        return (near, not slowed, serves, left, idle)
    if spec.target_latency_ms:
        # Images of one kind together, so that fillers find workers on which
        # they slow nobody down.
        same = spec.image in room.serving
        fillers = sum(room.fillers.values())
        return (near, same, serves, -fillers, -room.cpu_millis)
    # The smallest gap that fits: larger ones are kept for serving tasks,
    # which otherwise spread to the workers of the fillers.
    return (near, serves, -room.cpu_millis, room.memory_mb)
