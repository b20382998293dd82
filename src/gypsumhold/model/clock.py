"""The clock as an interface; adapters provide the real one."""

import abc
import datetime


class Clock(abc.ABC):
    """Tells the time; passed in wherever time is read."""

    @abc.abstractmethod
    def read_monotonic(self) -> datetime.timedelta:
        """Returns CLOCK_BOOTTIME, which runs through suspension."""

    @abc.abstractmethod
    def read_wall(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC, for records only."""
