"""Forecasts of how long a new job of a queue would wait, and their use."""

import dataclasses
import datetime

import msgspec

from gypsumhold.model import ids
from gypsumhold.model.jobs import specs


class SizeForecast(msgspec.Struct, frozen=True, array_like=True):
    """Wait of new jobs up to a size.

    Attributes:
        max_work_ms: Largest work of such a job, in core milliseconds.
        delay_ms: Time until the work that comes before such a job is done.
    """

    max_work_ms: int
    delay_ms: int


class QueueForecast(msgspec.Struct, frozen=True, array_like=True):
    """Waits of the new jobs of one queue that is short of room.

    Attributes:
        queue: Name of the queue.
        sizes: Waits by rising size; the last one holds for larger jobs too.
    """

    queue: specs.QueueName
    sizes: tuple[SizeForecast, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """What the holder of a term expected.

    Attributes:
        term: Term of the holder.
        made_at: When it was made, on the clock of the process that has it. An
            entry that read it from the holder's row takes the time at which it
            first saw the row, less its age when the row was written.
        queues: Queues that are short of room; the others have no wait.
    """

    term: ids.Epoch
    made_at: datetime.timedelta
    queues: tuple[QueueForecast, ...]

    def find_queue(self, queue: specs.QueueName) -> QueueForecast | None:
        """Returns the forecast of a queue; None if it has room."""
        return next((item for item in self.queues if item.queue == queue), None)


@dataclasses.dataclass(frozen=True, slots=True)
class ShareKey:
    """A kind of work that has a floor of its own.

    Each entry counts for itself. Callers reach the entries of their own data
    centre, so the callers of each data centre have floors of their own.

    Attributes:
        queue: Name of the queue.
        size: Number of the size class in the forecast, counted from 0.
    """

    queue: specs.QueueName
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Submissions of one kind since the counts were last halved.

    Attributes:
        asked: Submissions while the queue was short of room.
        accepted: Those that were accepted.
        refusing: Whether the latest one was to be refused, by the forecast.
    """

    asked: float = 0.0
    accepted: float = 0.0
    refusing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionInputs:
    """What an admission policy decides from.

    Attributes:
        spec: The submitted job.
        forecast: The latest forecast; None if there is none.
        now: Current time.
        shares: Recent submissions by kind.
        jitter: A random number from 0 to 1.
    """

    spec: specs.JobSpec
    forecast: Forecast | None
    now: datetime.timedelta
    shares: dict[ShareKey, Share]
    jitter: float


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a job is accepted, and from what that was decided.

    Attributes:
        retry_delay: None to accept the job, or else the delay before a retry.
        key: Kind of the job; None if its queue is not short of room.
        refusing: Whether jobs of this kind are to be refused but for floors.
        expected: Expected time from the submission to the end.
        limit: Time from the submission after which the end is of no use.
    """

    retry_delay: datetime.timedelta | None
    key: ShareKey | None = None
    refusing: bool = False
    expected: datetime.timedelta = datetime.timedelta(0)
    limit: datetime.timedelta = datetime.timedelta(0)


ACCEPTED = AdmissionDecision(None)
