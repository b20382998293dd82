"""Texts about a search and the orders that it found."""

import contextlib

from tests.jobs.order_search import rules, waits, walk


def describe_level(level: walk.Level) -> str:
    """Returns a line with the numbers of a level."""
    wait = ""
    if level.longest_wait_ms is not None:
        wait = f" longest wait {level.longest_wait_ms / 1000:.2f} s,"
    return (
        f"depth {level.depth}: {level.orders} orders, {level.states} new"
        f" states, {level.misdirected} with a start on another incarnation and"
        f" no rule broken, {len(level.found)} broke a rule,{wait}"
        f" {level.seconds:.1f} s"
    )


def describe_order(
    order: walk.Found, setting: walk.Setting, with_journal: bool = False
) -> str:
    """Returns an order as a numbered list, and the rule that it broke.

    It is played once more, for the times of its steps.
    """
    world = walk.build_world(setting)
    world.journal = []
    begun_ms = world.now_ms
    lines = []
    for number, step in enumerate(order.path, 1):
        with contextlib.suppress(rules.Violation):
            step.take(world)
            world.drop_expired_calls()
        elapsed = (world.now_ms - begun_ms) / 1000
        lines.append(f"  {number}. {step.describe()} (until {elapsed:.3f} s)")
        if with_journal:
            lines += [f"       {line}" for line in world.journal]
        world.journal.clear()
    if with_journal and setting.waits:
        bound_ms = waits.compute_bound_ms(world, setting.limits)
        with contextlib.suppress(rules.Violation):
            waits.measure_longest_ms(world, bound_ms)
        lines += ["  Without further faults:"]
        lines += [f"       {line}" for line in world.journal]
    return "\n".join(
        [f"{order.violation}, after {len(order.path)} steps:", *lines]
    )
