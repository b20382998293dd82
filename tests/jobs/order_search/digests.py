"""Digests of a world, equal for worlds that go on in the same way.

Times are taken relative to now, so that states at different times can be equal.
They are told from durations by their size: a world begins at a time far above
any duration, and its workers at a reading far above any later one. Numbers that
come from the wall clock (incarnations and fences) count by their order and the
distances between them, which are cut off at `MAX_GAP`.

Nothing here knows the fields of a state: dataclasses, structs, containers and
plain objects are walked as they are.
"""

import collections
import dataclasses
import datetime
import enum
import functools
import hashlib
import math
import random
from collections.abc import Callable, Iterable, Mapping, Set
from typing import Any

import msgspec

from tests.jobs.order_search import processes, small_world, worker_link

MILLISECOND = datetime.timedelta(milliseconds=1)
DISTANCE_MS = 500_000_000
"""Numbers so close to the begin of a clock are its readings."""

WALL_FROM_MS = 10**12
MAX_GAP = 20

Tokens = list[Any]


class _Wall(int):
    """A number that comes from the wall clock."""


def compute_digest(world: small_world.SmallWorld, rest: str) -> bytes:
    """Returns the digest of all that decides how an order goes on.

    Args:
        world: The world that the order has reached.
        rest: What else decides which steps may follow.
    """
    walker = _Walker(world.now_ms)
    tokens: Tokens = [rest]
    for node in world.processes.values():
        walker.walk(
            (node.state, node.alive, node.cut, node.cut_worker, node.cut_store),
            tokens,
        )
    walker.walk(
        (
            list(world.workers.values()),
            world.store,
            world.rules.forgotten_done,
            world.held,
            world.waiting_polls,
            sorted(world.reports),
        ),
        tokens,
    )
    for due_ms, _, action in sorted(world.scheduled, key=lambda item: item[:2]):
        if _is_current(world, action):
            walker.walk((due_ms, action), tokens)
    ranks = _rank({token for token in tokens if type(token) is _Wall})
    text = "\0".join(
        str(ranks[token]) if type(token) is _Wall else str(token)
        for token in tokens
    )
    return hashlib.blake2b(text.encode(), digest_size=16).digest()


def _is_current(
    world: small_world.SmallWorld, action: Callable[[], None]
) -> bool:
    """Tells whether a scheduled action still does anything."""
    assert isinstance(action, functools.partial)
    name = action.func.__name__
    arguments = action.args
    if name == "fire":
        process, timer, number = arguments
        return bool(world.processes[process].timers.get(timer) == number)
    if name == "beat":
        return bool(world.heartbeats[arguments[0]] == arguments[1])
    if name == "end_poll":
        polls = world.waiting_polls[arguments[0]]
        return any(poll.number == arguments[1] for poll in polls)
    if name in (
        "deliver_unless_restarted",
        "read_list",
        "reach_store",
        "send_call",
    ):
        return bool(world.processes[arguments[0]].incarnation == arguments[1])
    if name == "give_up":
        waiting = world.reports.get(arguments[0])
        return waiting is not None and waiting[3] == arguments[1]
    return True


def _rank(numbers: Iterable[int]) -> dict[int, int]:
    """Numbers them by order, keeping distances up to `MAX_GAP`."""
    ranks: dict[int, int] = {}
    rank, before = 0, None
    for number in sorted(numbers):
        if before is not None:
            rank += min(number - before, MAX_GAP)
        ranks[number] = rank
        before = number
    return ranks


class _Walker:
    """Turns values into tokens that do not depend on the time."""

    def __init__(self, now_ms: float) -> None:
        self.now_ms = now_ms
        elapsed_ms = now_ms - processes.BEGIN_MS
        self.reading_ms = (
            worker_link.UPTIME_MS + worker_link.CLOCK_RATE * elapsed_ms
        )

    def walk(self, value: Any, tokens: Tokens) -> None:
        """Appends the tokens of a value."""
        if value is None or isinstance(value, bool | str | bytes):
            tokens.append(value)
        elif isinstance(value, enum.Enum):
            tokens.append(value.name)
        elif isinstance(value, int | float):
            tokens.append(self._place(value))
        elif isinstance(value, datetime.timedelta):
            tokens.append(self._place(value / MILLISECOND))
        else:
            self._walk_compound(value, tokens)

    def _place(self, number: float) -> Any:
        """Returns a number relative to the clock that it is a reading of."""
        if abs(number - processes.BEGIN_MS) < DISTANCE_MS:
            return f"t{number - self.now_ms:.3f}"
        if abs(number - worker_link.UPTIME_MS) < DISTANCE_MS:
            return f"c{number - self.reading_ms:.0f}"
        if WALL_FROM_MS <= number < math.inf:
            return _Wall(number)
        return number

    def _walk_compound(self, value: Any, tokens: Tokens) -> None:
        tokens.append(type(value).__name__)
        if isinstance(value, Mapping):
            self._walk_sorted(value.items(), tokens)
        elif isinstance(value, Set):
            self._walk_sorted(value, tokens)
        elif isinstance(value, list | tuple | collections.deque):
            for item in value:
                self.walk(item, tokens)
        elif isinstance(value, functools.partial):
            tokens.append(value.func.__name__)
            arguments = value.args
            # Numbers of timers and polls only tell whether they are current.
            if value.func.__name__ in ("fire", "beat", "end_poll"):
                arguments = arguments[:-1]
            self.walk(arguments, tokens)
        elif isinstance(value, worker_link.WaitingPoll):
            self.walk((value.effect, value.result, value.sent_at), tokens)
        elif not isinstance(value, random.Random):
            for item in _list_fields(value):
                self.walk(item, tokens)
        tokens.append(")")

    def _walk_sorted(self, values: Iterable[Any], tokens: Tokens) -> None:
        """Walks values whose order does not matter, in the order of tokens."""
        walked: list[Tokens] = []
        for value in values:
            part: Tokens = []
            self.walk(value, part)
            walked.append(part)
        walked.sort(key=str)
        for part in walked:
            tokens.extend(part)


def _list_fields(value: Any) -> list[Any]:
    if dataclasses.is_dataclass(value):
        return [
            getattr(value, field.name) for field in dataclasses.fields(value)
        ]
    if isinstance(value, msgspec.Struct):
        return [getattr(value, name) for name in value.__struct_fields__]
    if not hasattr(value, "__dict__"):
        raise TypeError(f"no digest of {type(value).__name__}")
    return [item for _, item in sorted(vars(value).items())]
