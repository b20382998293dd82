"""Tests of the decision log beside a reader that stops reading."""

import io
import threading
import time

from gypsumhold.adapters import clock
from gypsumhold.adapters.jobs import decision_log
from gypsumhold.model.jobs import effects

LINE = effects.Log("place", "job", "instance")
MAX_CLOSE_S = 2.0
"""Well below the time that a process has to stop."""


class StuckStream(io.StringIO):
    """Blocks each write until it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait(30)
        return super().write(text)


def test_close_does_not_wait_for_a_stuck_reader() -> None:
    """Guards against a process that cannot stop while nobody reads its log."""
    stream = StuckStream()
    log = decision_log.DecisionLog(clock.SystemClock(), "test", stream)
    for _ in range(decision_log.MAX_QUEUED_LINES + 10):
        log.write(LINE)
    started = time.monotonic()
    closer = threading.Thread(target=log.close, daemon=True)
    closer.start()
    closer.join(MAX_CLOSE_S)
    is_closed = not closer.is_alive()
    stream.released.set()
    assert is_closed
    assert time.monotonic() - started < MAX_CLOSE_S + 1


def test_dropped_lines_are_counted_in_the_next_line() -> None:
    stream = StuckStream()
    log = decision_log.DecisionLog(clock.SystemClock(), "test", stream)
    for _ in range(decision_log.MAX_QUEUED_LINES + 10):
        log.write(LINE)
    stream.released.set()
    for _ in range(100):
        if stream.getvalue().count("\n") > decision_log.MAX_QUEUED_LINES:
            break
        time.sleep(0.02)
    log.write(LINE)
    log.close()
    assert '"dropped":' in stream.getvalue().splitlines()[-1]
