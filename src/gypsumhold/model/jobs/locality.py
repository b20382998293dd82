"""Places near the data or the gang of a task, and the waits for them."""

import dataclasses
import datetime
import enum

from gypsumhold.model import ids

NO_SLOWDOWN = 1.0
"""Factor of a deployment in which a task is as fast on any rack."""


@dataclasses.dataclass(frozen=True, slots=True)
class Opening:
    """A place for one more task that is expected on a rack.

    Attributes:
        opens_at: When the task that holds it is expected to end.
        reported_at: When the worker of the place last reported.
    """

    opens_at: datetime.timedelta
    reported_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class RackForecast:
    """Places for the tasks of one step that are expected on a rack.

    Attributes:
        rack: The rack.
        free: Places that are free already.
        openings: Further places, the earliest first.
    """

    rack: ids.Rack
    free: int = 0
    openings: tuple[Opening, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class NearPlaceCase:
    """What decides whether a wait for a near place pays.

    The case is of one task, or of a whole gang; it could start elsewhere now.

    Attributes:
        now: When the case is weighed.
        off_rack_slowdown: Factor on the run time of a task elsewhere.
        work: Expected rest of the run time near its data or gang.
        forecast: Places that are expected there.
        places_ahead: Openings that are taken first: by tasks that wait ahead,
            and by the other tasks of the gang.
        turnover: Time from the end of a task until its place is taken again.
        slack: Time by which the job is expected to meet its objective if the
            task starts near now; negative if the job will be late.
        is_contended: Whether other tasks find no capacity, so that what the
            task takes longer elsewhere is taken from them.
        began_at: Since when the task waits for a near place; None if it does
            not yet.
        latest_start_at: When the task has to start somewhere by the limit on
            the time without a run; None if its job has other runs.
        step_ends_at: When the step ends at the earliest, by its tasks that run
            already.
    """

    now: datetime.timedelta
    off_rack_slowdown: float
    work: datetime.timedelta
    forecast: RackForecast
    places_ahead: int
    turnover: datetime.timedelta
    slack: datetime.timedelta
    is_contended: bool
    began_at: datetime.timedelta | None = None
    latest_start_at: datetime.timedelta | None = None
    step_ends_at: datetime.timedelta = datetime.timedelta(0)

    @property
    def loss(self) -> datetime.timedelta:
        """Returns how much longer the task takes elsewhere."""
        return self.work * (self.off_rack_slowdown - NO_SLOWDOWN)

    @property
    def job_loss(self) -> datetime.timedelta:
        """Returns by how much the step ends later with the task elsewhere."""
        ends_near_at = self.now + self.work
        step_near_at = max(ends_near_at, self.step_ends_at)
        step_far_at = max(ends_near_at + self.loss, self.step_ends_at)
        return step_far_at - step_near_at


class PlaceChoice(enum.Enum):
    """What becomes of a task that could start elsewhere now."""

    WAIT = "wait"
    ELSEWHERE = "elsewhere"


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceDecision:
    """A decision about a near place.

    Attributes:
        choice: Whether the task waits.
        until: When a wait ends at the latest; the time of the decision if the
            task does not wait.
        expected_at: When a near place is expected; None if none is foreseen.
    """

    choice: PlaceChoice
    until: datetime.timedelta
    expected_at: datetime.timedelta | None


class NearWaitOutcome(enum.Enum):
    """How a wait for a near place ended."""

    NEAR = "near"
    """The task got a near place."""

    GAVE_UP = "gave up"
    """The task went elsewhere at the end of its wait."""

    ELSEWHERE = "elsewhere"
    """The task went elsewhere before, as the wait no longer paid."""

    DROPPED = "dropped"
    """The task no longer needs a place, as its job has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class NearWait:
    """A task, or a gang, that waits for a near place.

    It is kept in the memory of the holder only: a new holder weighs anew.

    Attributes:
        rack: The rack.
        began_at: Since when it waits.
        until: When it goes elsewhere at the latest, as last weighed.
    """

    rack: ids.Rack
    began_at: datetime.timedelta
    until: datetime.timedelta
