"""Implements the services for peers by turning each call into one event."""

import datetime
import uuid

from gypsumhold.adapters import engine, services, task_codec
from gypsumhold.model import (
    agent,
    declarations,
    effects,
    entry,
    events,
    ids,
    requests,
    states,
    tasks,
)

# Longer than the timeouts of the calling peers, so that those expire first.
TICKET_TIMEOUT = datetime.timedelta(seconds=30)

# The reducer ends every attempt by its deadline. This margin only bounds the
# wait if a fault of the reducer leaves an attempt open.
WAIT_MARGIN = datetime.timedelta(seconds=2)


class NoReplyError(Exception):
    """The reducer emitted no reply in time.

    The call fails, and its caller has to find out the result.
    """


def _create_ticket() -> ids.TicketId:
    return ids.TicketId(uuid.uuid4().hex)


class EntryPeerService(services.EntryService):
    """Answers calls of other entries."""

    def __init__(self, runtime: engine.Engine[entry.EntryState]) -> None:
        """Creates a service that applies its events with `runtime`."""
        self._runtime = runtime

    def submit(
        self, submission: tasks.Submission
    ) -> task_codec.SubmissionReply:
        """Commits a forwarded submission, if this entry holds its partition."""
        ticket = _create_ticket()
        event = events.SubmissionArrived(ticket, submission, forwarded=True)
        return self._run_operation(ticket, event)

    def cancel_task(
        self, cancel: task_codec.TaskCancel
    ) -> task_codec.SubmissionReply:
        """Cancels a task, if this entry holds its partition."""
        ticket = _create_ticket()
        event = events.TaskCancelArrived(
            ticket, cancel.organisation, cancel.task_id, forwarded=True
        )
        return self._run_operation(ticket, event)

    def _run_operation(
        self, ticket: ids.TicketId, event: events.Event
    ) -> task_codec.SubmissionReply:
        """Applies an event and returns the reply for its ticket."""
        final = self._runtime.run_owner(ticket, event, TICKET_TIMEOUT)
        if isinstance(final, effects.AnswerTicket):
            return task_codec.SubmissionReply(
                final.result, final.task_id, final.detail
            )
        return task_codec.SubmissionReply(states.SubmissionResult.UNKNOWN)


class AgentPeerService(services.AgentService):
    """Answers calls of entries."""

    def __init__(self, runtime: engine.Engine[agent.AgentState]) -> None:
        """Creates a service that applies its events with `runtime`."""
        self._runtime = runtime

    def dispatch(self, dispatch: requests.Dispatch) -> requests.DispatchReply:
        """Runs or refuses an attempt and returns its outcome."""
        key = requests.AttemptKey(dispatch.request_id, dispatch.attempt)
        try:
            final = self._runtime.run_owner(
                key,
                events.DispatchArrived(dispatch),
                dispatch.remaining + WAIT_MARGIN,
            )
        except engine.OwnerBusyError:
            # The first dispatch of the attempt is still in progress, so its
            # outcome is unknown.
            return requests.DispatchReply(
                states.Outcome.INDETERMINATE, states.Reason.DUPLICATE
            )
        if isinstance(final, effects.ReplyDispatch):
            return final.reply
        return requests.DispatchReply(
            states.Outcome.INDETERMINATE, states.Reason.EXPIRED
        )

    def cancel(self, cancel: requests.Cancel) -> requests.CancelReply:
        """Returns the state of an attempt; one that never arrived is fenced."""
        ticket = _create_ticket()
        final = self._runtime.run_owner(
            ticket, events.CancelArrived(ticket, cancel), TICKET_TIMEOUT
        )
        if isinstance(final, effects.ReplyCancel):
            return final.reply
        raise NoReplyError("cancel")

    def start_tasks(
        self, starts: tuple[tasks.TaskStart, ...]
    ) -> tuple[bool, ...]:
        """Returns for each start, in order, whether it is accepted."""
        ticket = _create_ticket()
        final = self._runtime.run_owner(
            ticket, events.StartsArrived(ticket, starts), TICKET_TIMEOUT
        )
        if isinstance(final, effects.ReplyStarts):
            return final.accepted
        raise NoReplyError("start_tasks")

    def sync_tasks(self, sync: tasks.TaskSync) -> tasks.SyncReply:
        """Renews the leases of placements and reports the states of tasks."""
        ticket = _create_ticket()
        final = self._runtime.run_owner(
            ticket, events.SyncArrived(ticket, sync), TICKET_TIMEOUT
        )
        if isinstance(final, effects.ReplySync):
            return final.reply
        raise NoReplyError("sync_tasks")

    def push_config(
        self, configuration: declarations.Configuration
    ) -> ids.ConfigVersion:
        """Installs a newer configuration; returns the version in force."""
        ticket = _create_ticket()
        return self._push(ticket, events.ConfigPushed(ticket, configuration))

    def push_changes(
        self, changes: tuple[declarations.Change, ...]
    ) -> ids.ConfigVersion:
        """Applies changes in order; returns the version in force."""
        ticket = _create_ticket()
        return self._push(ticket, events.ChangesPushed(ticket, changes))

    def _push(
        self, ticket: ids.TicketId, event: events.Event
    ) -> ids.ConfigVersion:
        """Applies an event with a configuration; returns the version in force.

        Raises:
            NoReplyError: The reducer emitted no reply in time.
        """
        final = self._runtime.run_owner(ticket, event, TICKET_TIMEOUT)
        if isinstance(final, effects.ReplyConfig):
            return final.version
        raise NoReplyError("push")

    def read_config(self) -> declarations.Configuration:
        """Returns the configuration in force."""
        return self._runtime.snapshot(lambda state: state.configuration)

    def drain(self) -> None:
        """Makes the instance finish its work and refuse new work."""
        self._runtime.dispatch(events.DrainRequested())
