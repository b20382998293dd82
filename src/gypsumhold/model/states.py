"""Enumerations of states, outcomes and reasons."""

import enum


class WorkClass(enum.StrEnum):
    """Classes of work, the most urgent first."""

    URGENT = "urgent"
    STANDARD = "standard"
    BATCH = "batch"


class WorkForm(enum.StrEnum):
    """Whether a template describes requests or tasks."""

    REQUEST = "request"
    TASK = "task"


class Outcome(enum.StrEnum):
    """Outcome of one request, as the caller sees it."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    INDETERMINATE = "indeterminate"
    IN_PROGRESS = "in-progress"
    """An earlier call with the same idempotency key has not ended."""


class Reason(enum.StrEnum):
    """Reason for the outcome of a request or a dispatch."""

    NONE = "none"
    BAD_REQUEST = "bad-request"
    UNKNOWN_ORGANISATION = "unknown-organisation"
    UNKNOWN_KIND = "unknown-kind"
    BODY_TOO_LARGE = "body-too-large"
    KEY_REQUIRED = "key-required"
    KEY_REUSED = "key-reused"
    """The idempotency key was used before with a different request."""
    NO_CONFIGURATION = "no-configuration"
    NO_UPSTREAM = "no-upstream"
    """No upstream that serves the kind is available."""
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    EXPIRED = "expired"
    """The deadline has passed or cannot be met, or the dispatch is too old."""
    STALE_INCARNATION = "stale-incarnation"
    TOMBSTONED = "tombstoned"
    """The attempt was fenced by a cancel before its dispatch arrived."""
    DUPLICATE = "duplicate"
    """The dispatch repeats an attempt that is queued or running."""
    CANCELLED = "cancelled"
    TABLE_UNAVAILABLE = "table-unavailable"
    UPSTREAM_FAILED = "upstream-failed"
    UPSTREAM_TIMEOUT = "upstream-timeout"
    AGENT_LOST = "agent-lost"
    """The agent did not answer, or a failed dispatch certainly did not run."""
    INCARNATION_GONE = "incarnation-gone"
    """The agent can no longer tell the outcome.

    Its process has been restarted, its instance was retired, or it has dropped
    its record of the attempt.
    """
    STOPPING = "stopping"


class MemberState(enum.StrEnum):
    """State of an instance that its agent announces."""

    JOINING = "joining"
    SERVING = "serving"
    DRAINING = "draining"


class CallPhase(enum.StrEnum):
    """Phase of a request in an entry."""

    ADMITTED = "admitted"
    CLAIMING = "claiming"
    """The claim of the next attempt is being written."""
    WAITING_RETRY = "waiting-retry"
    DISPATCHED = "dispatched"
    CANCELLING = "cancelling"
    """A cancel was sent for the latest attempt; its answer is awaited."""
    WAITING_RESULT = "waiting-result"
    """Another call holds the claim, and its result is awaited."""
    PROBING = "probing"
    """A cancel was sent for the attempt of another call's claim."""
    STORING = "storing"
    """A large answer body is being written to the object store."""
    RECORDING = "recording"
    """The result is being written into the claim."""
    FETCHING = "fetching"
    """A recorded answer body is being read from the object store."""


class OperationKind(enum.StrEnum):
    """Purpose of a transaction in flight."""

    CLAIM = "claim"
    RECORD = "record"
    PARTITION = "partition"
    HANDOVER_REQUEST = "wish"
    APPLY = "apply"


class ClaimState(enum.StrEnum):
    """State of the durable claim of a request that is not repeatable."""

    CLAIMED = "claimed"
    COMPLETED = "completed"
    NOT_RUN = "not-run"
    INDETERMINATE = "indeterminate"


class CancelAnswer(enum.StrEnum):
    """State of an attempt, as an agent replies to a cancel."""

    NEVER_SEEN = "never-seen"
    """The attempt has not run and is fenced, so that it never runs."""
    REMOVED = "removed"
    """The attempt was removed from the queue and has not run."""
    RUNNING = "running"
    FINISHED = "finished"
    STALE_INCARNATION = "stale-incarnation"
    FORGOTTEN = "forgotten"
    """The record of the attempt may have been dropped; it may have run."""


class DispatchPhase(enum.StrEnum):
    """Phase of a dispatch in an agent."""

    QUEUED = "queued"
    RUNNING = "running"
    ABANDONED = "lingering"
    """Not used: the slot of an abandoned call is kept apart from its call."""


class TaskState(enum.StrEnum):
    """Durable state of a task."""

    QUEUED = "queued"
    ASSIGNED = "assigned"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    PARKED = "parked"
    """The task has ended and does not run again; its result is the reason."""


FINAL_TASK_STATES = frozenset(
    {
        TaskState.SUCCEEDED,
        TaskState.FAILED,
        TaskState.CANCELLED,
        TaskState.PARKED,
    }
)


class ExecutionState(enum.StrEnum):
    """State of a task on an instance, as its agent reports it."""

    STARTING = "starting"
    RUNNING = "running"
    THROTTLED = "throttled"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    EVICTED = "evicted"
    """The task was stopped by an eviction and can be placed again."""
    STOPPED = "stopped"
    """The task was stopped for another reason, usually a cancellation."""
    REFUSED = "refused"
    """The worker refused to start the task."""
    UNKNOWN = "unknown"
    """The agent has no such placement and has fenced it at the worker."""


class PartitionPhase(enum.StrEnum):
    """Relation of an entry to a partition of the task queue."""

    OBSERVED = "observed"
    """Another entry holds the partition, or none does."""
    TAKING = "taking"
    """The entry is writing itself as the holder."""
    LOADING = "loading"
    """The entry holds the partition and is reading its tasks."""
    HELD = "held"


class CommitResult(enum.StrEnum):
    """Result of a table transaction."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    """The transaction did not take effect."""
    UNKNOWN = "unknown"
    """There was no answer; the transaction may have taken effect."""


class SubmissionResult(enum.StrEnum):
    """Result of an operation on a task or on the configuration."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    CONFLICT = "conflict"
    NOT_FOUND = "not-found"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class PolicyChoice(enum.StrEnum):
    """Set of policies that a process uses."""

    STANDARD = "standard"
    BASELINE = "baseline"
    """Simple policies, against which the standard ones are measured."""
