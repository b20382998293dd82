"""Handlers of the Thrift servers: each call becomes one event."""

import datetime
import uuid

from gypsumhold.adapters import engine, services, taskcodec
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

# Above the timeouts of the callers, which give up first.
TICKET_LIMIT = datetime.timedelta(seconds=30)

# The reducer ends every attempt by its deadline; this only guards against one
# that it forgot.
WAIT_MARGIN = datetime.timedelta(seconds=2)


class NoReplyError(Exception):
    """The reducer gave no reply; the call fails and the caller resolves it."""


def _name_ticket() -> ids.TicketId:
    return ids.TicketId(uuid.uuid4().hex)


class EntryPeerService(services.EntryService):
    """Calls of other entries."""

    def __init__(self, runtime: engine.Engine[entry.EntryState]) -> None:
        """Stores the engine."""
        self._runtime = runtime

    def submit(self, submission: tasks.Submission) -> taskcodec.SubmissionReply:
        """Queues a forwarded submission."""
        ticket = _name_ticket()
        event = events.SubmissionArrived(ticket, submission, forwarded=True)
        return self._ask(ticket, event)

    def cancel_task(
        self, cancel: taskcodec.TaskCancel
    ) -> taskcodec.SubmissionReply:
        """Cancels a task of a partition that this entry holds."""
        ticket = _name_ticket()
        event = events.TaskCancelArrived(
            ticket, cancel.organisation, cancel.task_id, forwarded=True
        )
        return self._ask(ticket, event)

    def _ask(
        self, ticket: ids.TicketId, event: events.Event
    ) -> taskcodec.SubmissionReply:
        final = self._runtime.run_owner(ticket, event, TICKET_LIMIT)
        if isinstance(final, effects.AnswerTicket):
            return taskcodec.SubmissionReply(
                final.result, final.task_id, final.detail
            )
        return taskcodec.SubmissionReply(states.SubmissionResult.UNKNOWN)


class AgentPeerService(services.AgentService):
    """Calls of entries."""

    def __init__(self, runtime: engine.Engine[agent.AgentState]) -> None:
        """Stores the engine."""
        self._runtime = runtime

    def dispatch(self, dispatch: requests.Dispatch) -> requests.DispatchReply:
        """Runs an attempt."""
        key = requests.AttemptKey(dispatch.request_id, dispatch.attempt)
        try:
            final = self._runtime.run_owner(
                key,
                events.DispatchArrived(dispatch),
                dispatch.remaining + WAIT_MARGIN,
            )
        except engine.OwnerBusyError:
            # The first copy is still in progress, so nothing is proved.
            return requests.DispatchReply(
                states.Outcome.INDETERMINATE, states.Reason.DUPLICATE
            )
        if isinstance(final, effects.ReplyDispatch):
            return final.reply
        return requests.DispatchReply(
            states.Outcome.INDETERMINATE, states.Reason.EXPIRED
        )

    def cancel(self, cancel: requests.Cancel) -> requests.CancelReply:
        """Tells what became of an attempt and fences a late copy."""
        ticket = _name_ticket()
        final = self._runtime.run_owner(
            ticket, events.CancelArrived(ticket, cancel), TICKET_LIMIT
        )
        if isinstance(final, effects.ReplyCancel):
            return final.reply
        raise NoReplyError("cancel")

    def start_tasks(
        self, starts: tuple[tasks.TaskStart, ...]
    ) -> tuple[bool, ...]:
        """Accepts or refuses tasks."""
        ticket = _name_ticket()
        final = self._runtime.run_owner(
            ticket, events.StartsArrived(ticket, starts), TICKET_LIMIT
        )
        if isinstance(final, effects.ReplyStarts):
            return final.accepted
        raise NoReplyError("start_tasks")

    def sync_tasks(self, sync: tasks.TaskSync) -> tasks.SyncReply:
        """Renews leases and compares views."""
        ticket = _name_ticket()
        final = self._runtime.run_owner(
            ticket, events.SyncArrived(ticket, sync), TICKET_LIMIT
        )
        if isinstance(final, effects.ReplySync):
            return final.reply
        raise NoReplyError("sync_tasks")

    def push_config(
        self, configuration: declarations.Configuration
    ) -> ids.ConfigVersion:
        """Takes a configuration and returns the version in force."""
        ticket = _name_ticket()
        return self._push(ticket, events.ConfigPushed(ticket, configuration))

    def push_changes(
        self, changes: tuple[declarations.Change, ...]
    ) -> ids.ConfigVersion:
        """Applies changes and returns the version in force."""
        ticket = _name_ticket()
        return self._push(ticket, events.ChangesPushed(ticket, changes))

    def _push(
        self, ticket: ids.TicketId, event: events.Event
    ) -> ids.ConfigVersion:
        final = self._runtime.run_owner(ticket, event, TICKET_LIMIT)
        if isinstance(final, effects.ReplyConfig):
            return final.version
        raise NoReplyError("push")

    def read_config(self) -> declarations.Configuration:
        """Returns the configuration in force."""
        return self._runtime.snapshot(lambda state: state.configuration)

    def drain(self) -> None:
        """Lets the instance finish its work and take no new one."""
        self._runtime.dispatch(events.DrainRequested())
