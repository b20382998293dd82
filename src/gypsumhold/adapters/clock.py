"""The operating system's clocks."""

import datetime
import time

from gypsumhold.model import clock


class SystemClock(clock.Clock):
    """Reads the clocks of the machine."""

    def read_monotonic(self) -> datetime.timedelta:
        """Returns CLOCK_BOOTTIME, which runs through suspension."""
        return datetime.timedelta(
            seconds=time.clock_gettime(time.CLOCK_BOOTTIME)
        )

    def read_wall(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)
