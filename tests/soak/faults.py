"""Random faults from outside the processes; they may overlap."""

import abc
import random
import signal
import time
from collections.abc import Callable, Sequence

from tests.soak import programs, proxies, standins

FAULT_SHARE = 0.2
"""Share of the submissions after which a fault is injected."""

FAULT_DURATION_S = (0.3, 5.0)
LONG_PAUSE_S = (7.5, 9.5)
"""Pause after which the grants of an agent have expired."""

LONG_PAUSE_SHARE = 0.3
PROXY_FAULTS = tuple(
    fault
    for fault in proxies.ProxyFault
    if fault is not proxies.ProxyFault.NOTHING
)
TABLE_FAULTS = ("silent", "busy", "lost", "slow", "late")
MAX_SIMULTANEOUS = 3
"""Largest number of faults of one kind that are injected together."""


class Injector(abc.ABC):
    """Injects faults of one sort and ends them."""

    @abc.abstractmethod
    def update(self) -> None:
        """Injects the faults that are due and ends those that are over."""

    @abc.abstractmethod
    def end_all(self) -> None:
        """Ends every fault."""


class FaultInjector(Injector):
    """Injects random faults and ends each after a random time.

    Args:
        generator: Source of the random choices.
        all_programs: All programs.
        workers: All workers.
        table: The table that all programs use.
    """

    def __init__(
        self,
        generator: random.Random,
        all_programs: Sequence[programs.Program],
        workers: Sequence[standins.WorkerStandin],
        table: standins.TableStandin,
    ) -> None:
        self._random = generator
        self._programs = all_programs
        self._workers = workers
        self._table = table
        self._active: list[tuple[float, Callable[[], None]]] = []
        self._injections: tuple[Callable[[], Callable[[], None]], ...] = (
            self._kill,
            self._terminate,
            self._pause,
            self._send_hangup,
            self._break_store_link,
            self._break_peer_link,
            self._set_table_fault,
            self._drop_history,
            self._restart_worker,
        )

    def update(self) -> None:
        """Ends the faults that are over, and injects one now and then."""
        self._end_due()
        if self._random.random() < FAULT_SHARE:
            self._inject()

    def _inject(self) -> None:
        """Injects one fault, or a few of one kind together."""
        inject_one = self._random.choice(self._injections)
        for _ in range(self._random.randint(1, MAX_SIMULTANEOUS)):
            duration_s = self._random.uniform(*FAULT_DURATION_S)
            is_pause = inject_one == self._pause
            if is_pause and self._random.random() < LONG_PAUSE_SHARE:
                duration_s = self._random.uniform(*LONG_PAUSE_S)
            ends_at = time.monotonic() + duration_s
            self._active.append((ends_at, inject_one()))

    def _end_due(self) -> None:
        """Ends the faults whose time is over."""
        now = time.monotonic()
        due = [
            end_fault for ends_at, end_fault in self._active if ends_at <= now
        ]
        self._active = [active for active in self._active if active[0] > now]
        for end_fault in due:
            end_fault()

    def end_all(self) -> None:
        """Ends every fault and starts the programs that have ended."""
        self._active.clear()
        self._table.fault = ""
        for program in self._programs:
            program.store.set_fault(proxies.ProxyFault.NOTHING)
            program.peers.set_fault(proxies.ProxyFault.NOTHING)
            program.send_signal(signal.SIGCONT)
            program.ensure_running()

    def _choose_program(self) -> programs.Program:
        return self._random.choice(self._programs)

    def _kill(self) -> Callable[[], None]:
        program = self._choose_program()
        program.kill()
        return program.ensure_running

    def _terminate(self) -> Callable[[], None]:
        program = self._choose_program()
        program.send_signal(signal.SIGTERM)
        return program.ensure_running

    def _pause(self) -> Callable[[], None]:
        program = self._choose_program()
        program.send_signal(signal.SIGSTOP)
        return lambda: program.send_signal(signal.SIGCONT)

    def _send_hangup(self) -> Callable[[], None]:
        program = self._choose_program()
        program.send_signal(signal.SIGHUP)
        return program.ensure_running

    def _break_store_link(self) -> Callable[[], None]:
        return self._break_link(self._choose_program().store)

    def _break_peer_link(self) -> Callable[[], None]:
        return self._break_link(self._choose_program().peers)

    def _break_link(self, proxy: proxies.Proxy) -> Callable[[], None]:
        """Sets a random fault of a proxy; returns the function that ends it."""
        proxy.set_fault(self._random.choice(PROXY_FAULTS))
        return lambda: proxy.set_fault(proxies.ProxyFault.NOTHING)

    def _set_table_fault(self) -> Callable[[], None]:
        self._table.fault = self._random.choice(TABLE_FAULTS)

        def end() -> None:
            self._table.fault = ""

        return end

    def _drop_history(self) -> Callable[[], None]:
        self._table.drop_history()
        return lambda: None

    def _restart_worker(self) -> Callable[[], None]:
        self._random.choice(self._workers).restart()
        return lambda: None
