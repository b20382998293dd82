"""Abstract base classes of the policies. Each has a baseline implementation."""

import abc
import dataclasses
import datetime
import random
from collections.abc import Sequence

from gypsumhold.model import ids, membership, requests, resources, states


class RoutingPolicy(abc.ABC):
    """Chooses the instance for a dispatch."""

    @abc.abstractmethod
    def choose(
        self,
        candidates: Sequence[membership.Member],
        data_centre: ids.DataCentre,
        now: datetime.timedelta,
        rng: random.Random,
    ) -> membership.Member | None:
        """Returns one of the eligible candidates, or None to shed load."""

    @abc.abstractmethod
    def estimate_cost(
        self,
        member: membership.Member,
        data_centre: ids.DataCentre,
        now: datetime.timedelta,
    ) -> float:
        """Returns the cost by which candidates are compared; lower is better.

        Args:
            member: A candidate.
            data_centre: Data centre of the entry.
            now: Current time.
        """

    @abc.abstractmethod
    def observe(
        self,
        member: membership.Member,
        kind: ids.KindName,
        reply: requests.DispatchReply | None,
        latency: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Updates the policy and the member with the result of a dispatch.

        Args:
            member: Instance that the dispatch was sent to.
            kind: Kind of the request.
            reply: Reply of the agent; None if there was none.
            latency: Time from the dispatch to its end.
            now: Current time.
        """


class RetryPolicy(abc.ABC):
    """Decides whether and when a request is attempted again."""

    @abc.abstractmethod
    def count_call(self) -> None:
        """Counts a new request, which adds to the budget of retries."""

    @abc.abstractmethod
    def plan(
        self,
        reason: states.Reason,
        attempt: ids.Attempt,
        remaining: datetime.timedelta,
        rng: random.Random,
    ) -> datetime.timedelta | None:
        """Returns the backoff before the next attempt, or None to give up.

        Args:
            reason: Why the previous attempt failed.
            attempt: Number of the previous attempt.
            remaining: Time until the deadline of the request.
            rng: Source of the jitter.
        """


class PlacementPolicy(abc.ABC):
    """Chooses the instance for a task."""

    @abc.abstractmethod
    def choose(
        self,
        required: resources.Resources,
        candidates: Sequence[membership.Member],
        rng: random.Random,
    ) -> membership.Member | None:
        """Returns a candidate with `required` resources free, or None."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedCall:
    """A dispatch in the queue of an agent.

    Attributes:
        key: Attempt that is queued.
        organisation: Organisation that the request belongs to.
        work_class: Class of the work.
        weight: Weight of the organisation within the class.
        deadline: Instant after which the result is of no use to the caller.
        queued_at: When the call was queued.
    """

    key: requests.AttemptKey
    organisation: ids.OrganisationId
    work_class: states.WorkClass
    weight: int
    deadline: datetime.timedelta
    queued_at: datetime.timedelta


class QueueDiscipline(abc.ABC):
    """Decides the order in which the queued calls of an agent get slots."""

    @abc.abstractmethod
    def push(self, call: QueuedCall) -> None:
        """Queues a call."""

    @abc.abstractmethod
    def pop(self) -> QueuedCall | None:
        """Removes and returns the next call to run, or None."""

    @abc.abstractmethod
    def remove(self, key: requests.AttemptKey) -> QueuedCall | None:
        """Removes and returns a call; returns None if it is not queued."""

    @abc.abstractmethod
    def choose_victim(self, arriving: QueuedCall) -> QueuedCall | None:
        """Returns the queued call to displace in favour of `arriving`.

        Returns None if `arriving` has to be refused instead.
        """

    @abc.abstractmethod
    def record_service_time(
        self, call: QueuedCall, duration: datetime.timedelta
    ) -> None:
        """Records how long a call that was popped held its slot."""

    @abc.abstractmethod
    def pop_expired(self, now: datetime.timedelta) -> list[QueuedCall]:
        """Removes and returns every call whose deadline has passed."""

    @abc.abstractmethod
    def find_earliest_deadline(self) -> datetime.timedelta | None:
        """Returns the earliest deadline of a queued call, or None."""

    @abc.abstractmethod
    def count(self, organisation: ids.OrganisationId | None = None) -> int:
        """Returns the number of queued calls, of one organisation or in all."""


class InterferencePolicy(abc.ABC):
    """Estimates how tasks slow down the service and limits the damage."""

    @abc.abstractmethod
    def observe(
        self,
        service: ids.KindName,
        latency: datetime.timedelta,
        running: Sequence[ids.KindName],
    ) -> None:
        """Updates the estimates with the latency of one request.

        Args:
            service: Kind of the request.
            latency: Time that the upstream took to answer it.
            running: Kinds of the tasks that run on the instance and are not
                throttled.
        """

    @abc.abstractmethod
    def choose_throttled(
        self,
        running: Sequence[tuple[ids.TaskId, ids.KindName, states.WorkClass]],
        now: datetime.timedelta,
    ) -> frozenset[ids.TaskId]:
        """Returns all tasks that are to be throttled from now on."""

    @abc.abstractmethod
    def choose_evicted(
        self,
        throttled: Sequence[tuple[ids.TaskId, ids.KindName, states.WorkClass]],
        now: datetime.timedelta,
    ) -> ids.TaskId | None:
        """Returns a throttled task to evict, or None.

        A returned task counts as evicted at `now`.
        """


@dataclasses.dataclass(slots=True)
class EntryPolicies:
    """Policies that an entry uses."""

    routing: RoutingPolicy
    retries: RetryPolicy
    placement: PlacementPolicy


@dataclasses.dataclass(slots=True)
class AgentPolicies:
    """Policies that an agent uses."""

    queue: QueueDiscipline
    interference: InterferencePolicy
