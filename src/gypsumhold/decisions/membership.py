"""Membership in an entry: announcements, silence, new incarnations."""

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
"""Interval at which silent instances are looked for."""


def handle_announcement(
    state: entry.EntryState,
    event: events.AnnouncementReceived,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Notes an announcement unless a newer one has already arrived."""
    announcement = event.announcement
    member = state.members.get(announcement.instance)
    if member is None:
        member = membership.Member(announcement, now)
        state.members[announcement.instance] = member
        state.instances_by_kind = None
    elif _is_older(announcement, member.announcement):
        return []
    elif announcement.incarnation != member.announcement.incarnation:
        _reset_member(member)
    if announcement.kinds != member.announcement.kinds:
        state.instances_by_kind = None
    member.announcement = announcement
    member.received_at = now
    _drop_visible_reservations(member)
    emitted = changes.align_configuration(state, member, now)
    if announcement.reports:
        emitted += syncs.sync_reports(state, member, now)
    return emitted


def _is_older(new: members.Announcement, known: members.Announcement) -> bool:
    return (new.incarnation, new.sequence) <= (
        known.incarnation,
        known.sequence,
    )


def _reset_member(member: membership.Member) -> None:
    """Forgets what only concerned the former life of the agent."""
    member.in_flight = 0
    member.failures = 0
    member.excluded_until = datetime.timedelta(0)
    member.reservations.clear()
    member.last_sync.clear()
    member.pushed_at = None


def _drop_visible_reservations(member: membership.Member) -> None:
    sequence = member.announcement.sequence
    visible = [
        task_id
        for task_id, item in member.reservations.items()
        if item.visible_from is not None and item.visible_from <= sequence
    ]
    for task_id in visible:
        del member.reservations[task_id]


def remove_silent_instances(
    state: entry.EntryState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Forgets instances that are silent and hold no task."""
    busy = {
        record.row.instance
        for partition in state.partitions.values()
        for record in partition.tasks.values()
        if record.row.state is states.TaskState.ASSIGNED
    }
    targets = {call.target for call in state.calls.values()}
    silent = [
        instance
        for instance, member in state.members.items()
        if now - member.received_at >= state.options.forget_after
        and instance not in busy
        and instance not in targets
    ]
    for instance in silent:
        del state.members[instance]
        state.instances_by_kind = None
    return [effects.SetTimer(timer, SILENCE_CHECK_INTERVAL)]
