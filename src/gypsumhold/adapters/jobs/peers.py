"""Thrift client and services between entries, agents and the holder.

The holder is the entry that holds the queue of jobs.
"""

import datetime
import uuid
from typing import Any

from returns.result import Failure, Result, Success

from gypsumhold.adapters import connection_pool, engine, peers, services
from gypsumhold.adapters.generated.wire import Jobs
from gypsumhold.adapters.jobs import codec
from gypsumhold.model import errors, ids, members
from gypsumhold.model.jobs import (
    effects,
    events,
    executor,
    messages,
    scheduler,
)

CALL_TIMEOUT = datetime.timedelta(milliseconds=1500)
"""Timeout of a call; the holder may store a cancellation before it answers."""

ANSWER_TIMEOUT = datetime.timedelta(milliseconds=1300)
"""Longest time that a server takes to answer; below the call's timeout."""


class JobClient:
    """Sends messages to other processes of the job subsystem."""

    def __init__(self, connections: connection_pool.ConnectionPool) -> None:
        """Creates a client on `connections`, which the caller has to close."""
        self._channel = peers.ThriftChannel(connections, Jobs.Client)

    def send_report(
        self, address: members.Address, report: messages.Report
    ) -> messages.Directives | None:
        """Sends a report to the holder; None if no valid answer arrived."""
        match self._call(address, report):
            case Success(messages.Directives() as directives):
                return directives
        return None

    def send_query(
        self, address: members.Address, query: messages.Query
    ) -> messages.Answer | None:
        """Sends a query to the holder.

        Returns:
            The answer, with verdict NOT_SENT if the query was not sent; None
            if it was sent and no valid answer arrived.
        """
        match self._call(address, query):
            case Success(messages.Answer() as answer):
                return answer
            case Failure(failed_call) if not failed_call.sent:
                return messages.Answer(messages.Verdict.NOT_SENT)
        return None

    def send_directives(
        self, address: members.Address, directives: messages.Directives
    ) -> bool:
        """Sends directives to an agent; returns whether it confirmed them."""
        return isinstance(self._call(address, directives), Success)

    def _call(
        self, address: members.Address, message: messages.Message
    ) -> Result[messages.Message, peers.CallFailure]:
        def invoke(client: Any) -> Result[messages.Message, errors.Error]:
            return codec.decode_message(client.exchange(codec.encode(message)))

        return self._channel.call(address, CALL_TIMEOUT, invoke)


def create_ticket_id() -> ids.TicketId:
    """Returns a unique id for a caller that waits for an answer."""
    return ids.TicketId(uuid.uuid4().hex)


class SchedulerService(services.JobService):
    """Answers the calls of agents and of other entries."""

    def __init__(
        self, runtime: engine.Engine[scheduler.SchedulerState]
    ) -> None:
        """Creates a service that dispatches its events to `runtime`."""
        self._runtime = runtime

    def exchange(self, message: messages.Message) -> messages.Message:
        """Answers a report or a query.

        The answer is UNKNOWN if the engine has none within `ANSWER_TIMEOUT`.
        """
        ticket = create_ticket_id()
        match message:
            case messages.Report():
                event: events.Event = events.ReportArrived(
                    ticket, message, self._runtime.read_clock()
                )
            case messages.Query():
                event = events.QueryArrived(
                    ticket, message, ANSWER_TIMEOUT, forwarded=True
                )
            case _:
                raise ValueError(f"unexpected message {type(message).__name__}")
        match self._runtime.run_owner(ticket, event, ANSWER_TIMEOUT):
            case effects.ReplyReport(directives=directives):
                return directives
            case effects.AnswerQuery(answer=answer):
                return answer
        return messages.Answer(messages.Verdict.UNKNOWN)


class ExecutorService(services.JobService):
    """Receives the calls of the holder."""

    def __init__(self, runtime: engine.Engine[executor.ExecutorState]) -> None:
        """Creates a service that dispatches its events to `runtime`."""
        self._runtime = runtime

    def exchange(self, message: messages.Message) -> messages.Message:
        """Dispatches directives and confirms that they arrived."""
        if not isinstance(message, messages.Directives):
            raise ValueError(f"unexpected message {type(message).__name__}")
        self._runtime.dispatch(events.DirectivesArrived(message))
        return messages.Received()
