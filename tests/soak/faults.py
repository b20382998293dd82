"""Faults from outside the processes; they overlap and end by themselves."""

import random
import signal
import time
from collections.abc import Callable, Sequence

from tests.soak import programs, proxies, standins

FAULT_S = (0.3, 5.0)
CUTS = tuple(cut for cut in proxies.Cut if cut is not proxies.Cut.NOTHING)
TABLE_FAULTS = ("silent", "busy", "lost", "slow", "late")
SERIES = 3
"""Most faults of one kind that begin together."""


class Faults:
    """Begins faults at random and ends each after a while."""

    def __init__(
        self,
        source: random.Random,
        running: Sequence[programs.Program],
        workers: Sequence[standins.WorkerStandin],
        table: standins.TableStandin,
    ) -> None:
        self._random = source
        self._programs = running
        self._workers = workers
        self._table = table
        self._repairs: list[tuple[float, Callable[[], None]]] = []
        self._kinds: tuple[Callable[[], Callable[[], None]], ...] = (
            self._kill,
            self._terminate,
            self._pause,
            self._hang_up,
            self._cut_store,
            self._cut_peers,
            self._break_table,
            self._forget_history,
            self._replace_worker,
        )

    def begin(self) -> None:
        """Begins one fault, or a few of one kind together."""
        kind = self._random.choice(self._kinds)
        for _ in range(self._random.randint(1, SERIES)):
            until = time.monotonic() + self._random.uniform(*FAULT_S)
            self._repairs.append((until, kind()))

    def repair(self) -> None:
        """Ends the faults that have lasted long enough."""
        now = time.monotonic()
        due = [repair for until, repair in self._repairs if until <= now]
        self._repairs = [it for it in self._repairs if it[0] > now]
        for repair in due:
            repair()

    def heal(self) -> None:
        """Ends every fault."""
        self._repairs.clear()
        self._table.fault = ""
        for program in self._programs:
            program.store.begin(proxies.Cut.NOTHING)
            program.peers.begin(proxies.Cut.NOTHING)
            program.signal(signal.SIGCONT)
            program.start_again()

    def _draw(self) -> programs.Program:
        return self._random.choice(self._programs)

    def _kill(self) -> Callable[[], None]:
        program = self._draw()
        program.stop()
        return program.start_again

    def _terminate(self) -> Callable[[], None]:
        program = self._draw()
        program.signal(signal.SIGTERM)
        return program.start_again

    def _pause(self) -> Callable[[], None]:
        program = self._draw()
        program.signal(signal.SIGSTOP)
        return lambda: program.signal(signal.SIGCONT)

    def _hang_up(self) -> Callable[[], None]:
        program = self._draw()
        program.signal(signal.SIGHUP)
        return program.start_again

    def _cut_store(self) -> Callable[[], None]:
        return self._cut(self._draw().store)

    def _cut_peers(self) -> Callable[[], None]:
        return self._cut(self._draw().peers)

    def _cut(self, proxy: proxies.Proxy) -> Callable[[], None]:
        proxy.begin(self._random.choice(CUTS))
        return lambda: proxy.begin(proxies.Cut.NOTHING)

    def _break_table(self) -> Callable[[], None]:
        self._table.fault = self._random.choice(TABLE_FAULTS)

        def end() -> None:
            self._table.fault = ""

        return end

    def _forget_history(self) -> Callable[[], None]:
        self._table.forget_history()
        return lambda: None

    def _replace_worker(self) -> Callable[[], None]:
        self._random.choice(self._workers).restart()
        return lambda: None
