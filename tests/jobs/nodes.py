"""Processes of a simulated deployment, and the faults of their calls."""

import dataclasses
from collections.abc import Callable
from typing import Any

from gypsumhold.model import members
from gypsumhold.model.jobs import runs


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Probabilities of faults.

    Attributes:
        lost: The call is carried out and its answer is lost.
        late: The call gets no answer and is carried out seconds later.
        held: The call to a worker is held back for a while, and then taken by
            the incarnation that is up.
        refused: The call is refused and has no effect.
        failing: A run ends as failed.
    """

    lost: float = 0.0
    late: float = 0.0
    held: float = 0.0
    refused: float = 0.0
    failing: float = 0.0


NO_FAULTS = Faults()

CRASH_DELAY_MS = 10
"""Time after which a deadly task crashes the worker that started it."""

GANG_TIMEOUT_MS = 200
"""Time after which a run ends that is alone of its gang."""

DOWN_MS = 3200
"""Time until a worker is up again after a crash."""


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a worker under a deadly task, and its starts until then."""

    task: runs.TaskRef
    instance: str
    at_ms: float
    starts: int


@dataclasses.dataclass(slots=True)
class Node:
    """One process.

    Attributes:
        name: Name of the entry or of the agent's instance.
        address: Where the process takes calls.
        state: State of the scheduler or executor.
        incarnation: Number of starts and kills; pending actions of an earlier
            value are dropped.
        alive: Whether the process runs.
        cut: Whether the process is cut off from the other processes.
        cut_store: Whether the process is cut off from the store.
        cut_config: Whether its reads of the operator's rows fail.
        cut_worker: Whether the process is cut off from its worker.
        frozen: Whether the process is paused.
        backlog: Actions that wait until the process is no longer paused.
        timers: Number of the latest setting of each timer.
    """

    name: str
    address: members.Address
    state: Any
    incarnation: int = 0
    alive: bool = True
    cut: bool = False
    cut_store: bool = False
    cut_config: bool = False
    cut_worker: bool = False
    frozen: bool = False
    backlog: list[Callable[[], None]] = dataclasses.field(default_factory=list)
    timers: dict[Any, int] = dataclasses.field(default_factory=dict)
