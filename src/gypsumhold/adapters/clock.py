"""The clock of the operating system."""

import datetime
import time

from gypsumhold.model import clock


class SystemClock(clock.Clock):
    """Reads the clocks of the operating system."""

    def read_monotonic(self) -> datetime.timedelta:
        """Returns CLOCK_BOOTTIME, which also advances in suspend."""
        return datetime.timedelta(
            seconds=time.clock_gettime(time.CLOCK_BOOTTIME)
        )

    def read_wall(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)
