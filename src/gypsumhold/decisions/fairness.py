"""Order in which an agent's waiting calls get slots."""

import datetime

from gypsumhold.model import ids, policies, requests


class FirstComeFirstServed(policies.QueueDiscipline):
    """Baseline: one queue in order of arrival."""

    def __init__(self) -> None:
        self._calls: dict[requests.AttemptKey, policies.QueuedCall] = {}

    def push(self, call: policies.QueuedCall) -> None:
        """Adds a waiting call."""
        self._calls[call.key] = call

    def pop(self) -> policies.QueuedCall | None:
        """Takes out the oldest call."""
        if not self._calls:
            return None
        return self._calls.pop(next(iter(self._calls)))

    def remove(self, key: requests.AttemptKey) -> policies.QueuedCall | None:
        """Takes out a given call."""
        return self._calls.pop(key, None)

    def pop_expired(self, now: datetime.timedelta) -> list[policies.QueuedCall]:
        """Takes out every call whose deadline has passed."""
        expired = [
            item for item in self._calls.values() if item.deadline <= now
        ]
        for item in expired:
            del self._calls[item.key]
        return expired

    def find_earliest(self) -> datetime.timedelta | None:
        """Returns the earliest deadline of a waiting call."""
        return min(
            (item.deadline for item in self._calls.values()), default=None
        )

    def count(self, organisation: ids.OrganisationId | None = None) -> int:
        """Returns how many calls wait."""
        if organisation is None:
            return len(self._calls)
        return sum(
            item.organisation == organisation for item in self._calls.values()
        )
