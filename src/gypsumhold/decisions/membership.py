"""Instances known to an entry: announcements, restarts, removal when silent."""

import datetime

from gypsumhold.decisions import changes, syncs
from gypsumhold.model import (
    effects,
    entry,
    events,
    members,
    membership,
    states,
    timers,
)

SILENCE_CHECK_INTERVAL = datetime.timedelta(seconds=5)
"""Interval at which instances that have become silent are removed."""


def handle_announcement(
    state: entry.EntryState,
    event: events.AnnouncementReceived,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Records an announcement of an agent; one that is not newer is ignored.

    A new incarnation of the agent resets the values kept for the previous one.
    The entry pushes its configuration to an agent with an older version, at
    limited intervals, and reads a newer version from the agent, but only while
    the table is failing. If the agent has reports to deliver, the partitions
    that the entry holds are synced with it where a sync is needed or due.
    """
    announcement = event.announcement
    member = state.members.get(announcement.instance)
    if member is None:
        member = membership.Member(announcement, now)
        state.members[announcement.instance] = member
        state.instances_by_kind = None
    elif _is_outdated(announcement, member.announcement):
        return []
    elif announcement.incarnation != member.announcement.incarnation:
        _reset_member(member)
    if announcement.kinds != member.announcement.kinds:
        state.instances_by_kind = None
    member.announcement = announcement
    member.received_at = now
    _drop_superseded_reservations(member)
    emitted = changes.align_configuration(state, member, now)
    if announcement.reports:
        emitted += syncs.sync_reports(state, member, now)
    return emitted


def _is_outdated(
    received: members.Announcement, latest: members.Announcement
) -> bool:
    """Returns whether `received` is no newer than `latest`."""
    return (received.incarnation, received.sequence) <= (
        latest.incarnation,
        latest.sequence,
    )


def _reset_member(member: membership.Member) -> None:
    """Resets the values that belong to the agent's previous incarnation."""
    member.in_flight = 0
    member.failures = 0
    member.excluded_until = datetime.timedelta(0)
    member.reservations.clear()
    member.last_sync.clear()
    member.pushed_at = None


def _drop_superseded_reservations(member: membership.Member) -> None:
    """Drops the reservations of tasks that the latest announcement includes."""
    sequence = member.announcement.sequence
    superseded = [
        task_id
        for task_id, item in member.reservations.items()
        if item.visible_from is not None and item.visible_from <= sequence
    ]
    for task_id in superseded:
        del member.reservations[task_id]


def remove_silent_instances(
    state: entry.EntryState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Removes instances that have long been silent.

    An instance stays while a task is assigned to it or a call targets it.
    """
    with_tasks = {
        record.row.instance
        for partition in state.partitions.values()
        for record in partition.tasks.values()
        if record.row.state is states.TaskState.ASSIGNED
    }
    call_targets = {call.target for call in state.calls.values()}
    silent = [
        instance
        for instance, member in state.members.items()
        if now - member.received_at >= state.options.forget_after
        and instance not in with_tasks
        and instance not in call_targets
    ]
    for instance in silent:
        del state.members[instance]
        state.instances_by_kind = None
    return [effects.SetTimer(timer, SILENCE_CHECK_INTERVAL)]
