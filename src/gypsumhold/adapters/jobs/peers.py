"""Calls between the processes of the job subsystem, over Thrift."""

import datetime
import uuid
from typing import Any

from returns.result import Failure, Result, Success

from gypsumhold.adapters import engine, peers, pool, services
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

CALL_TIME = datetime.timedelta(milliseconds=1500)
"""Limit of one call; the holder may store a cancellation before it answers."""

WAIT_TIME = datetime.timedelta(milliseconds=1300)
"""How long a server lets a caller wait; shorter than the call's limit."""


class JobClient:
    """Sends messages; None means that no valid answer came."""

    def __init__(self, connections: pool.ConnectionPool) -> None:
        """Stores the pool, which belongs to the caller."""
        self._caller = peers.Caller(connections, Jobs.Client)

    def send_report(
        self, address: members.Address, report: messages.Report
    ) -> messages.Directives | None:
        """Reports to the holder."""
        match self._call(address, report):
            case Success(messages.Directives() as directives):
                return directives
        return None

    def send_query(
        self, address: members.Address, query: messages.Query
    ) -> messages.Answer | None:
        """Asks the holder."""
        match self._call(address, query):
            case Success(messages.Answer() as answer):
                return answer
            case Failure(lost) if not lost.sent:
                return messages.Answer(messages.Verdict.NOT_SENT)
        return None

    def send_directives(
        self, address: members.Address, directives: messages.Directives
    ) -> bool:
        """Sends directives to an agent; tells whether it has them."""
        return isinstance(self._call(address, directives), Success)

    def _call(
        self, address: members.Address, message: messages.Message
    ) -> Result[messages.Message, peers.CallLost]:
        def invoke(client: Any) -> Result[messages.Message, errors.Error]:
            return codec.decode_message(client.exchange(codec.encode(message)))

        return self._caller.call(address, CALL_TIME, invoke)


def create_ticket_id() -> ids.TicketId:
    """Returns a new name for a waiting caller."""
    return ids.TicketId(uuid.uuid4().hex)


class SchedulerService(services.JobService):
    """Calls of agents and of other entries."""

    def __init__(
        self, runtime: engine.Engine[scheduler.SchedulerState]
    ) -> None:
        """Stores the engine."""
        self._runtime = runtime

    def exchange(self, message: messages.Message) -> messages.Message:
        """Answers a report or a query."""
        ticket = create_ticket_id()
        match message:
            case messages.Report():
                event: events.Event = events.ReportArrived(ticket, message)
            case messages.Query():
                event = events.QueryArrived(
                    ticket, message, WAIT_TIME, forwarded=True
                )
            case _:
                raise ValueError(f"unexpected {type(message).__name__}")
        match self._runtime.run_owner(ticket, event, WAIT_TIME):
            case effects.ReplyReport(directives=directives):
                return directives
            case effects.AnswerQuery(answer=answer):
                return answer
        return messages.Answer(messages.Verdict.UNKNOWN)


class ExecutorService(services.JobService):
    """Calls of the holder."""

    def __init__(self, runtime: engine.Engine[executor.ExecutorState]) -> None:
        """Stores the engine."""
        self._runtime = runtime

    def exchange(self, message: messages.Message) -> messages.Message:
        """Takes directives."""
        if not isinstance(message, messages.Directives):
            raise ValueError(f"unexpected {type(message).__name__}")
        self._runtime.dispatch(events.DirectivesArrived(message))
        return messages.Received()
