"""Reports and directives between the processes of a small deployment."""

import datetime
import functools

from gypsumhold.adapters import failure_events
from gypsumhold.model import ids, members
from gypsumhold.model.jobs import (
    effects,
    events,
    messages,
)
from tests.jobs.order_search import processes

PEER_TIMEOUT_MS = 1300.0


class PeerLink(processes.Processes):
    """Processes that call each other.

    Attributes:
        reports: Sender, its incarnation, effect and time of reports under way.
    """

    def __init__(self) -> None:
        super().__init__()
        self.reports: dict[
            str, tuple[str, int, effects.SendReport, datetime.timedelta]
        ] = {}

    def _find_process(self, address: members.Address) -> str:
        return next(
            name
            for name, node in self.processes.items()
            if node.address == address
        )

    def _is_reachable(self, sender: str, receiver: str) -> bool:
        node, target = self.processes[sender], self.processes[receiver]
        return target.alive and not node.cut and not target.cut

    def _send_report(self, name: str, effect: effects.SendReport) -> None:
        target = self._find_process(effect.address)
        if self._is_trapped(name, effect):
            self.note(f"{name}: its report is lost")
            self._fail(name, PEER_TIMEOUT_MS, effect)
            return
        if not self._is_reachable(name, target):
            self._fail(name, PEER_TIMEOUT_MS, effect)
            return
        ticket = f"{name}/{effect.report.sequence % 2}"
        incarnation = self.processes[name].incarnation
        sent_at = self.read_clock()
        self.reports[ticket] = (name, incarnation, effect, sent_at)
        self.after(
            processes.LATENCY_MS,
            functools.partial(self.report, ticket, target, effect.report),
        )
        self.after(
            PEER_TIMEOUT_MS, functools.partial(self.give_up, ticket, sent_at)
        )

    def report(self, ticket: str, target: str, report: messages.Report) -> None:
        arrived = events.ReportArrived(
            ids.TicketId(ticket), report, self.read_clock()
        )
        self.deliver(target, arrived)

    def _reply_report(self, _name: str, effect: effects.ReplyReport) -> None:
        waiting = self.reports.pop(effect.owner, None)
        if waiting is None:
            return
        name, incarnation, sent, sent_at = waiting
        answer = events.ReportAnswered(
            sent.address, sent.report.sequence, sent_at, effect.directives
        )
        self.after(
            processes.LATENCY_MS,
            functools.partial(
                self.deliver_unless_restarted, name, incarnation, answer
            ),
        )

    def give_up(self, ticket: str, sent_at: datetime.timedelta) -> None:
        waiting = self.reports.get(ticket)
        if waiting is None or waiting[3] != sent_at:
            return
        del self.reports[ticket]
        name, incarnation, sent, _ = waiting
        failure = failure_events.build_failure_event(sent, started=True)
        self.deliver_unless_restarted(name, incarnation, failure)

    def _push(self, name: str, effect: effects.PushDirectives) -> None:
        target = self._find_process(effect.address)
        if not self._is_reachable(name, target):
            self._fail(name, PEER_TIMEOUT_MS, effect)
            return
        arrived = events.DirectivesArrived(effect.directives)
        self.after(
            processes.LATENCY_MS,
            functools.partial(self.deliver, target, arrived),
        )
        pushed = events.DirectivesPushed(effect.instance, True)
        self._answer(name, 2 * processes.LATENCY_MS, pushed)
