"""The story of one job, as the decision logs of several processes tell it."""

import dataclasses
import datetime
import enum
from collections.abc import Mapping

from gypsumhold.model.jobs import specs


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a decision log.

    Attributes:
        at: When the line was written, by the clock of its process.
        source: Instance of the process.
        decision: Kind of the decision.
        subject: What it is about, for example the id of a job.
        outcome: What was decided.
        inputs: What decided it, by name.
    """

    at: datetime.datetime
    source: str
    decision: str
    subject: str
    outcome: str
    inputs: Mapping[str, str]


class Cause(enum.Enum):
    """Why a job ended as it did, or what it waits for."""

    UNKNOWN = "unknown"
    """No line is about the job."""

    REFUSED = "refused"
    """It was not accepted and never ran."""

    UNANSWERED = "unanswered"
    """Nobody learned whether it was stored."""

    CANCELLED = "cancelled"
    FAILED = "failed"
    """One of its tasks failed as often as its queue allows."""

    GIVEN_UP = "given up"
    """Workers crashed under one of its tasks, which does not run again."""

    COMPLETED = "completed"
    NOT_PLACED = "not placed"
    """It was accepted and none of its tasks has been placed."""

    NOT_STARTED = "not started"
    """A task has been placed and none has started."""

    RUNNING = "running"


@dataclasses.dataclass(slots=True)
class Story:
    """What the lines that were applied so far tell of a job.

    Attributes:
        job_id: The job.
        lines: The lines that belong to the story, in order.
        accepted_at: When it was accepted; None if that is not known.
        first_placed_at: When the first task was placed.
        first_started_at: When the first run started.
        ended_at: When it reached its final state.
        refusal: Outcome of the latest submission that was not accepted.
        is_unanswered: Whether the latest submission has an unknown result.
        is_cancelled: Whether it was cancelled.
        is_failed: Whether it ended as failed.
        failed_on: Instances on which runs of it failed, in order.
        crashed_under: The task that was given up for the workers that crashed
            under it; empty if there is none.
        crashed: Instances of these workers, in order.
        lost_runs: Number of runs that ended without doing their work, other
            than by failing.
        refused_runs: Number of runs that a worker refused to start.
    """

    job_id: specs.JobId
    lines: list[LogLine] = dataclasses.field(default_factory=list)
    accepted_at: datetime.datetime | None = None
    first_placed_at: datetime.datetime | None = None
    first_started_at: datetime.datetime | None = None
    ended_at: datetime.datetime | None = None
    refusal: str = ""
    is_unanswered: bool = False
    is_cancelled: bool = False
    is_failed: bool = False
    failed_on: list[str] = dataclasses.field(default_factory=list)
    crashed_under: str = ""
    crashed: list[str] = dataclasses.field(default_factory=list)
    lost_runs: int = 0
    refused_runs: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The cause of the end of a job, and what to look at next.

    Attributes:
        cause: The cause.
        summary: One sentence for an operator.
        remedy: What to look at or to do next.
    """

    cause: Cause
    summary: str
    remedy: str
