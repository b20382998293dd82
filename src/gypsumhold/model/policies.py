"""Interfaces of the decisions that vary; each has a baseline."""

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
        source: random.Random,
    ) -> membership.Member | None:
        """Returns one of the eligible candidates, or None to shed."""

    @abc.abstractmethod
    def observe(
        self,
        member: membership.Member,
        kind: ids.KindName,
        reply: requests.DispatchReply | None,
        latency: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Learns from the end of a dispatch; None means it was lost."""


class RetryPolicy(abc.ABC):
    """Decides whether and when an attempt is repeated."""

    @abc.abstractmethod
    def count_call(self) -> None:
        """Counts a new request, which earns a share of one retry."""

    @abc.abstractmethod
    def plan(
        self,
        reason: states.Reason,
        attempt: ids.Attempt,
        remaining: datetime.timedelta,
        source: random.Random,
    ) -> datetime.timedelta | None:
        """Returns the pause before the next attempt, or None to give up."""


class PlacementPolicy(abc.ABC):
    """Chooses the instance for a task."""

    @abc.abstractmethod
    def choose(
        self,
        need: resources.Resources,
        candidates: Sequence[membership.Member],
        source: random.Random,
    ) -> membership.Member | None:
        """Returns a candidate in which `need` fits, or None."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedCall:
    """A dispatch that waits for a slot in an agent.

    Attributes:
        key: The attempt.
        organisation: Who asks.
        work_class: Urgency.
        weight: Share of the organisation.
        deadline: Instant after which running it is of no use.
        arrived: When it was queued.
    """

    key: requests.AttemptKey
    organisation: ids.OrganisationId
    work_class: states.WorkClass
    weight: int
    deadline: datetime.timedelta
    arrived: datetime.timedelta


class QueueDiscipline(abc.ABC):
    """Order in which an agent's waiting calls get slots."""

    @abc.abstractmethod
    def push(self, call: QueuedCall) -> None:
        """Adds a waiting call."""

    @abc.abstractmethod
    def pop(self) -> QueuedCall | None:
        """Takes out the call that runs next."""

    @abc.abstractmethod
    def remove(self, key: requests.AttemptKey) -> QueuedCall | None:
        """Takes out a given call."""

    @abc.abstractmethod
    def choose_victim(self, arriving: QueuedCall) -> QueuedCall | None:
        """Returns a waiting call to push out for `arriving`, if any."""

    @abc.abstractmethod
    def record_service_time(
        self, call: QueuedCall, duration: datetime.timedelta
    ) -> None:
        """Learns how long a call that was taken out held its slot."""

    @abc.abstractmethod
    def pop_expired(self, now: datetime.timedelta) -> list[QueuedCall]:
        """Takes out every call whose deadline has passed."""

    @abc.abstractmethod
    def find_earliest(self) -> datetime.timedelta | None:
        """Returns the earliest deadline of a waiting call."""

    @abc.abstractmethod
    def count(self, organisation: ids.OrganisationId | None = None) -> int:
        """Returns how many calls wait, of one organisation or in all."""


class InterferencePolicy(abc.ABC):
    """Estimates how tasks slow the service and what to do about it."""

    @abc.abstractmethod
    def observe(
        self,
        service: ids.KindName,
        latency: datetime.timedelta,
        running: Sequence[ids.KindName],
    ) -> None:
        """Learns the latency of one request beside the running kinds."""

    @abc.abstractmethod
    def choose_throttled(
        self,
        running: Sequence[tuple[ids.TaskId, ids.KindName, states.WorkClass]],
        now: datetime.timedelta,
    ) -> frozenset[ids.TaskId]:
        """Returns the tasks that are to be throttled."""

    @abc.abstractmethod
    def choose_evicted(
        self,
        throttled: Sequence[tuple[ids.TaskId, ids.KindName, states.WorkClass]],
        now: datetime.timedelta,
    ) -> ids.TaskId | None:
        """Returns a throttled task that is to be evicted, if any."""


@dataclasses.dataclass(slots=True)
class EntryPolicies:
    """Policies of an entry."""

    routing: RoutingPolicy
    retries: RetryPolicy
    placement: PlacementPolicy


@dataclasses.dataclass(slots=True)
class AgentPolicies:
    """Policies of an agent."""

    queue: QueueDiscipline
    interference: InterferencePolicy
