"""Interface of the clock. Adapters provide the implementation."""

import abc
import datetime


class Clock(abc.ABC):
    """Source of the current time, passed to all code that reads it."""

    @abc.abstractmethod
    def read_monotonic(self) -> datetime.timedelta:
        """Returns CLOCK_BOOTTIME, which also advances while suspended."""

    @abc.abstractmethod
    def read_wall(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC, for records only."""
