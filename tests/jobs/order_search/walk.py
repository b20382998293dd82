"""Walks all orders of steps, shortest first, each state once."""

import concurrent.futures
import contextlib
import dataclasses
import functools
import itertools
import pickle
import time
import zlib
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from tests.jobs.order_search import digests, rules, small_world, steps, waits

Path = tuple[steps.Step, ...]
Spread = Callable[..., Iterable[Any]]
"""As `map`, over one process or several."""

CHUNK = 200
"""States that one process continues at a time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """What is searched.

    Attributes:
        depth: Most steps of an order.
        limits: How often an order may have each kind of step.
        entries: Number of entries.
        tasks: Number of tasks; each of two or more fills a worker.
        waits: Whether tasks may not wait too long after an order.
    """

    depth: int
    limits: steps.Limits = steps.Limits()
    entries: int = 1
    tasks: int = 1
    waits: bool = False


class Fault(NamedTuple):
    """A step other than a pause: its kind, and the agent that it meets."""

    kind: str
    node: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """An order that breaks a rule, and the rule."""

    path: Path
    violation: str

    def list_faults(self) -> list[Fault]:
        """Returns its steps without pauses."""
        return [
            Fault(
                f"{type(step).__name__} {step.kind}",
                getattr(step, "node", None),
            )
            for step in self.path
            if not isinstance(step, steps.Pause)
        ]

    def contains(self, other: "Found") -> bool:
        """Tells whether it has all faults of another order, in its order.

        The other one may have met the same agents under exchanged names.
        """
        if self.violation != other.violation:
            return False
        faults, others = self.list_faults(), other.list_faults()
        names = sorted({fault.node for fault in faults if fault.node})
        known = sorted({fault.node for fault in others if fault.node})
        return any(
            _is_subsequence(faults, _rename(others, known, exchanged))
            for exchanged in itertools.permutations(names, len(known))
        )


@dataclasses.dataclass(slots=True)
class Level:
    """What the orders of one length came to.

    Attributes:
        depth: Their length.
        orders: Number of orders that were walked.
        states: Number of different states that they reached; those of the last
            level are compared only if waits are measured.
        misdirected: Number of orders that broke no rule although another
            incarnation has carried out a start. Without any, a search shows
            nothing.
        longest_wait_ms: Longest wait after an order; None if waits are not
            measured.
        found: Orders that broke a rule.
        seconds: Time that the level took.
    """

    depth: int
    orders: int = 0
    states: int = 0
    misdirected: int = 0
    longest_wait_ms: float | None = None
    found: list[Found] = dataclasses.field(default_factory=list)
    seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _State:
    """A state as it is kept between two levels."""

    path: Path
    packed: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Continued:
    """A state that one more step has reached; or the broken rule."""

    path: Path
    digest: bytes = b""
    packed: bytes = b""
    is_misdirected: bool = False
    violation: str = ""


def build_world(setting: Setting) -> small_world.SmallWorld:
    """Returns the world in which every order begins."""
    return small_world.SmallWorld(
        2,
        setting.entries,
        setting.tasks,
        lists_workers=setting.limits.worker_losses > 0,
    )


def walk(setting: Setting, processes: int = 1) -> Iterator[Level]:
    """Walks all orders; yields each level once it is done.

    Orders that broke a rule are not continued.
    """
    world = build_world(setting)
    seen = {digests.compute_digest(world, steps.describe_rest(()))}
    states = [_State((), _pack(world))]
    with contextlib.ExitStack() as stack:
        spread: Spread = map
        if processes > 1:
            pool = concurrent.futures.ProcessPoolExecutor(processes)
            spread = stack.enter_context(pool).map
        for depth in range(1, setting.depth + 1):
            begun = time.monotonic()
            level = Level(depth)
            reached: list[_State] = []
            for continued in _continue_all(spread, states, setting, depth):
                level.orders += 1
                level.misdirected += continued.is_misdirected
                if continued.violation:
                    level.found.append(
                        Found(continued.path, continued.violation)
                    )
                elif continued.digest and continued.digest not in seen:
                    seen.add(continued.digest)
                    reached.append(_State(continued.path, continued.packed))
            level.states = len(reached)
            if setting.waits:
                _check_waits(spread, reached, setting, level)
            level.seconds = time.monotonic() - begun
            yield level
            states = reached


def _continue_all(
    spread: Spread, states: list[_State], setting: Setting, depth: int
) -> Iterator[_Continued]:
    """Yields all that one more step reaches from these states."""
    is_last = depth == setting.depth
    chunks = [
        (states[begin : begin + CHUNK], setting, is_last)
        for begin in range(0, len(states), CHUNK)
    ]
    for continued in spread(_continue_chunk, chunks):
        yield from continued


def _check_waits(
    spread: Spread, states: list[_State], setting: Setting, level: Level
) -> None:
    """Measures the waits after each state of a level."""
    world = build_world(setting)
    bound_ms = waits.compute_bound_ms(world, setting.limits)
    check = functools.partial(_check_wait, bound_ms=bound_ms)
    checked = zip(states, spread(check, states), strict=True)
    longest_ms = 0.0
    for state, (wait_ms, violation) in checked:
        longest_ms = max(longest_ms, wait_ms)
        if violation:
            level.found.append(Found(state.path, violation))
    level.longest_wait_ms = longest_ms


def _check_wait(state: _State, bound_ms: float) -> tuple[float, str]:
    """Returns the longest wait after a state, and the rule that is broken."""
    world = pickle.loads(zlib.decompress(state.packed))
    try:
        wait_ms = waits.measure_longest_ms(world, bound_ms)
    except rules.Violation as violation:
        return 0.0, str(violation)
    if wait_ms <= bound_ms:
        return wait_ms, ""
    return wait_ms, f"WAIT: a task could run, and not in {bound_ms:.0f} ms"


def _continue_chunk(
    chunk: tuple[list[_State], Setting, bool],
) -> list[_Continued]:
    states, setting, is_last = chunk
    return [
        continued
        for state in states
        for continued in _continue(state, setting, is_last)
    ]


def _continue(
    state: _State, setting: Setting, is_last: bool
) -> Iterator[_Continued]:
    """Yields what each step reaches that may follow a state.

    A longer pause goes on from the shorter one before it.
    """
    unpacked = zlib.decompress(state.packed)
    world = pickle.loads(unpacked)
    paused = pickle.loads(unpacked)
    for step in steps.list_steps(world, state.path, setting.limits):
        if is_last and not (setting.waits or step.may_start_runs):
            continue
        path = (*state.path, step)
        is_pause = isinstance(step, steps.Pause)
        reached = paused if is_pause else pickle.loads(unpacked)
        try:
            if not step.take(reached):
                continue
        except rules.Violation as violation:
            yield _Continued(path, violation=str(violation))
            if is_pause:
                return
            continue
        reached.drop_expired_calls()
        digest = packed = b""
        if not is_last or setting.waits:
            digest = digests.compute_digest(reached, steps.describe_rest(path))
            packed = _pack(reached)
        is_misdirected = reached.misdirected_starts > 0
        yield _Continued(path, digest, packed, is_misdirected)


def _pack(world: small_world.SmallWorld) -> bytes:
    return zlib.compress(pickle.dumps(world, pickle.HIGHEST_PROTOCOL), 1)


def select_different(found: Iterable[Found]) -> list[Found]:
    """Returns the orders that contain no earlier one, but for pauses."""
    selected: list[Found] = []
    for order in found:
        if not any(order.contains(other) for other in selected):
            selected.append(order)
    return selected


def _rename(
    faults: list[Fault], names: list[str], others: Iterable[str]
) -> list[Fault]:
    renamed = dict(zip(names, others, strict=True))
    return [
        fault._replace(node=renamed.get(fault.node or "")) for fault in faults
    ]


def _is_subsequence(faults: list[Fault], part: list[Fault]) -> bool:
    left = iter(faults)
    return all(fault in left for fault in part)
