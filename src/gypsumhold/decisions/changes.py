"""Configuration in an entry: reading, changing and distributing it."""

import dataclasses
import datetime

from gypsumhold.model import (
    declarations,
    effects,
    entry,
    events,
    ids,
    membership,
    rows,
    states,
    timers,
)

APPLY_TIMEOUT = datetime.timedelta(seconds=10)
"""Time for which a change in doubt is sent again while the operator waits."""

APPLY_RETRY_DELAY = datetime.timedelta(milliseconds=200)
"""Delay before a change in doubt is sent again."""

PUSH_INTERVAL = datetime.timedelta(seconds=1)
"""Minimum time between two pushes to one agent.

The agent confirms a push with its next announcement.
"""

REMOTE_PUSH_DELAY = datetime.timedelta(seconds=2)
"""Time for which an agent of another data centre may lag before a push.

The entries of the agent's own data centre push first.
"""

MAX_KEPT_CHANGES = 256
"""Number of latest changes that are kept.

They are pushed to lagging agents instead of the whole configuration.
"""


def start_configuration(
    state: entry.EntryState, now: datetime.timedelta
) -> list[effects.Effect]:
    """Starts polling the head of the configuration."""
    return [_read_head(now)]


def _read_head(now: datetime.timedelta) -> effects.Effect:
    purpose = events.ReadPurpose(timers.ReadKind.CONFIG_HEAD, sent_at=now)
    return effects.ReadRows(effects.NO_OWNER, rows.HEAD_KEY, purpose)


def poll_head(
    state: entry.EntryState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Reads the head when the polling interval has passed."""
    return [_read_head(now)]


def _poll_later(state: entry.EntryState) -> effects.Effect:
    timer = timers.Timer(timers.TimerKind.CONFIG_POLL)
    return effects.SetTimer(timer, state.options.config_poll)


def handle_head_row(
    state: entry.EntryState,
    event: events.RowsRead,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Reads the missing changes if the head is ahead of this entry.

    An entry without a configuration reads all declared objects instead.
    """
    if event.found is None:
        state.table_failed_at = now
        return [_poll_later(state)]
    head = next((row.value for row in event.found), None)
    current = state.configuration.version
    if not isinstance(head, rows.HeadRow) or head.version <= current:
        return [_poll_later(state)]
    if not current:
        return _load_objects(state, head.version)
    purpose = events.ReadPurpose(timers.ReadKind.CONFIG_CHANGES)
    return [
        effects.ReadRows(
            effects.NO_OWNER,
            rows.CHANGE_PREFIX,
            purpose,
            after=rows.build_change_key(current),
        )
    ]


def _load_objects(
    state: entry.EntryState, version: ids.ConfigVersion
) -> list[effects.Effect]:
    """Reads the declared objects, or installs them if they were just read.

    The objects are read after the head, so they may include newer changes. They
    are known to belong to the head's version only if the head is unchanged when
    it is read once more.
    """
    candidate, state.candidate = state.candidate, None
    if candidate is not None and candidate.version == version:
        _install(state, candidate, ())
        return [_poll_later(state)]
    purpose = events.ReadPurpose(
        timers.ReadKind.CONFIG_OBJECTS, owner=str(version)
    )
    return [effects.ReadRows(effects.NO_OWNER, rows.OBJECT_PREFIX, purpose)]


def handle_object_rows(
    state: entry.EntryState,
    event: events.RowsRead,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Builds a candidate configuration from the declared objects.

    Reads the head again to check that the objects belong to its version.
    """
    if event.found is None:
        return [_poll_later(state)]
    version = ids.ConfigVersion(int(event.purpose.owner))
    values = [row.value for row in event.found]
    change = declarations.Change(
        version,
        templates=tuple(
            item.template
            for item in values
            if isinstance(item, rows.TemplateRow)
        ),
        organisations=tuple(
            item.organisation
            for item in values
            if isinstance(item, rows.OrganisationRow)
        ),
    )
    state.candidate = declarations.apply_change(declarations.EMPTY, change)
    return [_read_head(now)]


def handle_change_rows(
    state: entry.EntryState,
    event: events.RowsRead,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Applies the changes that follow the current version without a gap."""
    emitted: list[effects.Effect] = []
    for row in event.found or ():
        if isinstance(row.value, rows.ChangeRow):
            emitted += _install_change(state, row.value.change, now)
    return [*emitted, _poll_later(state)]


def _install_change(
    state: entry.EntryState,
    change: declarations.Change,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Installs a change that the table accepted and pushes it to the agents.

    Ignores a change that does not follow the current version directly.
    """
    if change.version != state.configuration.version + 1:
        return []
    configuration = declarations.apply_change(state.configuration, change)
    _install(state, configuration, (change,))
    emitted: list[effects.Effect] = []
    for member in state.members.values():
        emitted += align_configuration(state, member, now)
    return emitted


def _install(
    state: entry.EntryState,
    configuration: declarations.Configuration,
    added: tuple[declarations.Change, ...],
) -> None:
    """Puts a configuration in force.

    `added` holds the changes that lead to it from the previous one; if empty,
    they are unknown and the kept changes are discarded.
    """
    state.configuration = configuration
    state.changes = [*state.changes, *added][-MAX_KEPT_CHANGES:]
    if not added:
        state.changes = []


def align_configuration(
    state: entry.EntryState,
    member: membership.Member,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Pushes to an agent with an older version; reads from one with a newer."""
    version = member.announcement.config_version
    installed = state.configuration.version
    if version == installed:
        member.lagging_since = None
        return []
    if version > installed:
        return _read_peer_configuration(state, member)
    if member.lagging_since is None:
        member.lagging_since = now
    same_data_centre = (
        member.announcement.data_centre == state.options.data_centre
    )
    if not same_data_centre and now - member.lagging_since < REMOTE_PUSH_DELAY:
        return []
    if member.pushed_at is not None and now < member.pushed_at + PUSH_INTERVAL:
        return []
    member.pushed_at = now
    return [_build_push(state, member)]


def _build_push(
    state: entry.EntryState, member: membership.Member
) -> effects.Effect:
    """Returns a push of the missing changes, or of the whole configuration.

    The whole configuration is sent if some of the missing changes are no longer
    kept.

    With 390 organisations the whole configuration is about a hundred times the
    size of one change, which is too much to send for each of 18,000 changes a
    day.
    """
    version = member.announcement.config_version
    missing = tuple(item for item in state.changes if item.version > version)
    if version and missing and missing[0].version == version + 1:
        return effects.PushChanges(member.instance, member.address, missing)
    return effects.PushConfig(
        member.instance, member.address, state.configuration
    )


def _read_peer_configuration(
    state: entry.EntryState, member: membership.Member
) -> list[effects.Effect]:
    """Reads a newer configuration from an agent while the table is failing.

    Only a new entry needs this; a running one reads each version from the
    table within a second.
    """
    failed = state.table_failed_at is not entry.NEVER
    if state.reading_peer or not failed:
        return []
    state.reading_peer = True
    return [effects.ReadPeerConfig(member.address)]


def handle_peer_configuration(
    state: entry.EntryState,
    event: events.PeerConfigRead,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Installs the configuration that was read from an agent if it is newer."""
    state.reading_peer = False
    configuration = event.configuration
    if (
        configuration is not None
        and configuration.version > state.configuration.version
    ):
        _install(state, configuration, ())
    return []


def handle_push_answer(
    state: entry.EntryState,
    event: events.ConfigPushAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Allows a failed push to be repeated at the agent's next announcement."""
    member = state.members.get(event.instance)
    if member is not None and event.version is None:
        member.pushed_at = None
    return []


def handle_apply(
    state: entry.EntryState,
    event: events.ApplyArrived,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Sends an operator's change, which is refused if its base is outdated."""
    change = dataclasses.replace(
        event.change, version=ids.ConfigVersion(event.base + 1)
    )
    transaction = _build_transaction(state.next_operation(), event.base, change)
    state.operations[transaction.operation] = entry.Operation(
        states.OperationKind.APPLY, transaction.operation
    )
    state.applies[transaction.operation] = entry.ApplyOperation(
        event.ticket, change, transaction, now + APPLY_TIMEOUT
    )
    return [effects.Commit(event.ticket, transaction)]


def _build_transaction(
    operation: ids.OperationId,
    base: ids.ConfigVersion,
    change: declarations.Change,
) -> rows.Transaction:
    """Builds the transaction that writes a change, its objects and the head."""
    writes = [
        rows.Write(rows.HEAD_KEY, rows.HeadRow(change.version)),
        rows.Write(
            rows.build_change_key(change.version), rows.ChangeRow(change)
        ),
    ]
    for template in change.templates:
        key = rows.build_object_key(template)
        writes.append(rows.Write(key, rows.TemplateRow(template)))
    for organisation in change.organisations:
        key = rows.build_object_key(organisation)
        writes.append(rows.Write(key, rows.OrganisationRow(organisation)))
    for kind in change.deleted_templates:
        writes.append(rows.Write(rows.build_template_key(kind), None))
    for name in change.deleted_organisations:
        writes.append(rows.Write(rows.build_organisation_key(name), None))
    # Only changes write the head, and each of them writes it once, so its row
    # version equals the configuration version.
    conditions = (
        rows.Condition(rows.HEAD_KEY, ids.RowVersion(base)),
        rows.Condition(
            rows.build_change_key(change.version), ids.RowVersion(0)
        ),
    )
    return rows.Transaction(operation, conditions, tuple(writes))


def handle_apply_answer(
    state: entry.EntryState,
    event: events.CommitAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Answers the operator once the result of the change is known.

    A change in doubt is sent again until `APPLY_TIMEOUT`.
    """
    pending = state.applies[event.operation]
    result = event.answer.result
    head = event.answer.find(rows.HEAD_KEY)
    # The head may already belong to a later change. The row of this change
    # shows whether it took effect when it was sent before.
    change_row = event.answer.find(
        rows.build_change_key(pending.change.version)
    )
    took_effect = (
        change_row is not None and change_row.operation == event.operation
    )
    if result is states.CommitResult.UNKNOWN:
        pending.in_doubt = True
    failed = result in (
        states.CommitResult.UNAVAILABLE,
        states.CommitResult.UNKNOWN,
    )
    if failed and pending.in_doubt:
        result = states.CommitResult.UNKNOWN
    if result is states.CommitResult.UNKNOWN and now < pending.give_up_at:
        timer = timers.Timer(timers.TimerKind.APPLY_RETRY, event.operation)
        return [effects.SetTimer(timer, APPLY_RETRY_DELAY, pending.ticket)]
    del state.applies[event.operation]
    del state.operations[event.operation]
    if result is states.CommitResult.COMMITTED or took_effect:
        emitted = _install_change(state, pending.change, now)
        answer = effects.AnswerTicket(
            pending.ticket,
            states.SubmissionResult.ACCEPTED,
            version=pending.change.version,
        )
        return [answer, *emitted]
    return [
        effects.AnswerTicket(
            pending.ticket,
            _APPLY_FAILURES[result],
            version=_get_head_version(head),
        )
    ]


_APPLY_FAILURES = {
    states.CommitResult.CONFLICT: states.SubmissionResult.CONFLICT,
    states.CommitResult.UNAVAILABLE: states.SubmissionResult.UNAVAILABLE,
    states.CommitResult.UNKNOWN: states.SubmissionResult.UNKNOWN,
}


def _get_head_version(head: rows.Row | None) -> ids.ConfigVersion | None:
    value = head.value if head else None
    return value.version if isinstance(value, rows.HeadRow) else None


def resend_apply(
    state: entry.EntryState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Sends a change in doubt again, unchanged."""
    pending = state.applies.get(ids.OperationId(timer.subject))
    if pending is None:
        return []
    return [effects.Commit(pending.ticket, pending.transaction)]
