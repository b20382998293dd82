"""Configuration in an entry: reading, applying and spreading versions."""

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
"""How long an operator waits while a change is in doubt."""

APPLY_RETRY_PAUSE = datetime.timedelta(milliseconds=200)
"""Pause before a change in doubt is sent again."""

PUSH_PAUSE = datetime.timedelta(seconds=1)
"""Pause between pushes to one agent; its next announcement confirms."""

REMOTE_PUSH_DELAY = datetime.timedelta(seconds=2)
"""Lag after which agents of other data centres are helped."""

MAX_KEPT_CHANGES = 256
"""Changes that are kept to be sent instead of the whole configuration."""


def start_configuration(
    state: entry.EntryState, now: datetime.timedelta
) -> list[effects.Effect]:
    """Begins to read the head of the configuration."""
    return [_read_head(now)]


def _read_head(now: datetime.timedelta) -> effects.Effect:
    purpose = events.ReadPurpose(timers.ReadKind.CONFIG_HEAD, sent_at=now)
    return effects.ReadRows(effects.NO_OWNER, rows.HEAD_KEY, purpose)


def poll_head(
    state: entry.EntryState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Reads the head again."""
    return [_read_head(now)]


def _poll_later(state: entry.EntryState) -> effects.Effect:
    timer = timers.Timer(timers.TimerKind.CONFIG_POLL)
    return effects.SetTimer(timer, state.options.config_poll)


def handle_head_row(
    state: entry.EntryState,
    event: events.RowsRead,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Reads what is missing if the head is ahead of this entry."""
    if event.found is None:
        state.table_failed_at = now
        return [_poll_later(state)]
    head = next((row.value for row in event.found), None)
    known = state.configuration.version
    if not isinstance(head, rows.HeadRow) or head.version <= known:
        return [_poll_later(state)]
    if not known:
        return _load_objects(state, head.version)
    purpose = events.ReadPurpose(timers.ReadKind.CONFIG_CHANGES)
    return [
        effects.ReadRows(
            effects.NO_OWNER,
            rows.CHANGE_PREFIX,
            purpose,
            after=rows.name_change_row(known),
        )
    ]


def _load_objects(
    state: entry.EntryState, version: ids.ConfigVersion
) -> list[effects.Effect]:
    """Installs the objects that were read, unless the head has moved on.

    The objects are read after the head and may contain newer changes. Only
    an unchanged head afterwards proves that they belong to its version.
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
    """Builds the configuration from its objects, in a new entry."""
    if event.found is None:
        return [_poll_later(state)]
    version = ids.ConfigVersion(int(event.read.owner))
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
    """Applies the changes that follow the present version without a gap."""
    emitted: list[effects.Effect] = []
    for row in event.found or ():
        if isinstance(row.value, rows.ChangeRow):
            emitted += _apply_accepted(state, row.value.change, now)
    return [*emitted, _poll_later(state)]


def _apply_accepted(
    state: entry.EntryState,
    change: declarations.Change,
    now: datetime.timedelta,
) -> list[effects.Effect]:
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
    state.configuration = configuration
    state.changes = [*state.changes, *added][-MAX_KEPT_CHANGES:]
    if not added:
        state.changes = []


def align_configuration(
    state: entry.EntryState,
    member: membership.Member,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Pushes to an agent that lags; asks one that is ahead."""
    version = member.announcement.config_version
    own = state.configuration.version
    if version == own:
        member.lagging_since = None
        return []
    if version > own:
        return _read_from(state, member)
    if member.lagging_since is None:
        member.lagging_since = now
    near = member.announcement.data_centre == state.options.data_centre
    if not near and now - member.lagging_since < REMOTE_PUSH_DELAY:
        return []
    if member.pushed_at is not None and now < member.pushed_at + PUSH_PAUSE:
        return []
    member.pushed_at = now
    return [_build_push(state, member)]


def _build_push(
    state: entry.EntryState, member: membership.Member
) -> effects.Effect:
    """Sends only what is missing, if the kept changes reach back that far.

    With 390 organisations the whole configuration is about a hundred times
    the size of one change, too much for each of 18,000 changes a day.
    """
    version = member.announcement.config_version
    missing = tuple(item for item in state.changes if item.version > version)
    if version and missing and missing[0].version == version + 1:
        return effects.PushChanges(member.instance, member.address, missing)
    return effects.PushConfig(
        member.instance, member.address, state.configuration
    )


def _read_from(
    state: entry.EntryState, member: membership.Member
) -> list[effects.Effect]:
    """Reads a newer configuration from an agent if the table does not answer.

    Only a new entry needs it; a running one reads the table within a second.
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
    """Takes over a peer's configuration if it is newer."""
    state.reading_peer = False
    found = event.configuration
    if found is not None and found.version > state.configuration.version:
        _install(state, found, ())
    return []


def handle_push_answer(
    state: entry.EntryState,
    event: events.ConfigPushAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Lets a lost push be repeated at the next announcement."""
    member = state.members.get(event.instance)
    if member is not None and event.version is None:
        member.pushed_at = None
    return []


def handle_apply(
    state: entry.EntryState,
    event: events.ApplyArrived,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Sends an operator's change under the condition of its base version."""
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
    writes = [
        rows.Write(rows.HEAD_KEY, rows.HeadRow(change.version)),
        rows.Write(
            rows.name_change_row(change.version), rows.ChangeRow(change)
        ),
    ]
    for template in change.templates:
        key = rows.name_object_row(template)
        writes.append(rows.Write(key, rows.TemplateRow(template)))
    for organisation in change.organisations:
        key = rows.name_object_row(organisation)
        writes.append(rows.Write(key, rows.OrganisationRow(organisation)))
    for kind in change.deleted_templates:
        writes.append(rows.Write(rows.name_template_key(kind), None))
    for name in change.deleted_organisations:
        writes.append(rows.Write(rows.name_organisation_key(name), None))
    # The head is written by every change and by nothing else, so its row
    # version equals the configuration version.
    conditions = (
        rows.Condition(rows.HEAD_KEY, ids.RowVersion(base)),
        rows.Condition(rows.name_change_row(change.version), ids.RowVersion(0)),
    )
    return rows.Transaction(operation, conditions, tuple(writes))


def handle_apply_answer(
    state: entry.EntryState,
    event: events.CommitAnswered,
    now: datetime.timedelta,
) -> list[effects.Effect]:
    """Answers the operator once the change is accepted or refused."""
    operation = state.applies[event.operation]
    result = event.answer.result
    found = event.answer.find(rows.HEAD_KEY)
    # The head may already carry a later change; the row of this change
    # tells whether an earlier sending of it took effect.
    written = event.answer.find(rows.name_change_row(operation.change.version))
    won = written is not None and written.operation == event.operation
    if result is states.CommitResult.UNKNOWN:
        operation.in_doubt = True
    failed = result in (
        states.CommitResult.UNAVAILABLE,
        states.CommitResult.UNKNOWN,
    )
    if failed and operation.in_doubt:
        result = states.CommitResult.UNKNOWN
    if result is states.CommitResult.UNKNOWN and now < operation.give_up_at:
        timer = timers.Timer(timers.TimerKind.APPLY_RETRY, event.operation)
        return [effects.SetTimer(timer, APPLY_RETRY_PAUSE, operation.ticket)]
    del state.applies[event.operation]
    del state.operations[event.operation]
    if result is states.CommitResult.COMMITTED or won:
        emitted = _apply_accepted(state, operation.change, now)
        answer = effects.AnswerTicket(
            operation.ticket,
            states.SubmissionResult.ACCEPTED,
            version=operation.change.version,
        )
        return [answer, *emitted]
    return [
        effects.AnswerTicket(
            operation.ticket,
            _APPLY_FAILURES[result],
            version=_find_version(found),
        )
    ]


_APPLY_FAILURES = {
    states.CommitResult.CONFLICT: states.SubmissionResult.CONFLICT,
    states.CommitResult.UNAVAILABLE: states.SubmissionResult.UNAVAILABLE,
    states.CommitResult.UNKNOWN: states.SubmissionResult.UNKNOWN,
}


def _find_version(head: rows.Row | None) -> ids.ConfigVersion | None:
    value = head.value if head else None
    return value.version if isinstance(value, rows.HeadRow) else None


def resend_apply(
    state: entry.EntryState, timer: timers.Timer, now: datetime.timedelta
) -> list[effects.Effect]:
    """Sends a change in doubt again, unchanged."""
    operation = state.applies.get(ids.OperationId(timer.subject))
    if operation is None:
        return []
    return [effects.Commit(operation.ticket, operation.transaction)]
