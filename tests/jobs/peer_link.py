"""Calls between simulated processes, and the faults of these calls."""

import datetime
from collections.abc import Callable
from typing import Any

from gypsumhold.adapters import failure_events
from gypsumhold.model import events as base_events
from gypsumhold.model import ids
from gypsumhold.model.jobs import effects, events, messages
from tests.jobs import deployment, nodes


class PeerLink(deployment.Deployment):
    """A deployment whose processes call each other.

    Attributes:
        verdicts: Answers by the ticket of their query.
        pending_replies: Takes the answer to a forwarded query, by ticket.
        pending_reports: Takes the answer to a report, by ticket.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.verdicts: dict[str, messages.Answer] = {}
        self.pending_replies: dict[str, Callable[[messages.Answer], None]] = {}
        self.pending_reports: dict[
            str, Callable[[messages.Directives | None], None]
        ] = {}

    def _call_peer(self, node: nodes.Node, effect: Any) -> None:
        target = self.nodes_by_address[effect.address]
        if isinstance(effect, effects.SendReport):
            worker = self.workers[node.name]
            self.oracle.check_reported_ends(worker, effect.report, self.now_ms)
        fault = self._draw_fault(effect)
        sent_at = self.read_clock()
        unreachable = (
            node.cut or target.cut or not target.alive or target.frozen
        )
        if fault == "refused" and isinstance(effect, effects.ForwardQuery):
            unsent = messages.Answer(messages.Verdict.NOT_SENT)
            event = events.QueryAnswered(effect.owner, unsent)
            self._schedule_event(node, 5, event)
            return
        if self.delivers_to_frozen and target.frozen and not target.cut:
            self._queue_push(target, effect)
        if unreachable or fault in ("refused", "late"):
            self._schedule_event(
                node, 1500, failure_events.build_failure_event(effect, True)
            )
            return

        def deliver_call() -> None:
            if isinstance(effect, effects.ForwardQuery):
                self._forward(node, target, effect, lost=fault == "lost")
                return
            if isinstance(effect, effects.SendReport):
                lost = fault == "lost"
                self._report(node, target, effect, sent_at, lost=lost)
                return
            event = self._call_process(target, effect)
            if fault == "lost" or event is None:
                event = failure_events.build_failure_event(effect, True)
            self._schedule_event(node, self._draw_latency(), event)

        self.after(self._draw_latency(), deliver_call)

    def _queue_push(self, target: nodes.Node, effect: Any) -> None:
        """Lets directives reach a frozen agent once it goes on."""
        if isinstance(effect, effects.PushDirectives):
            arrived = events.DirectivesArrived(effect.directives)
            target.backlog.append(lambda: self.deliver(target, arrived))

    def _forward(
        self,
        node: nodes.Node,
        target: nodes.Node,
        effect: effects.ForwardQuery,
        *,
        lost: bool,
    ) -> None:
        """Delivers a query to another entry, which may answer later."""
        ticket = ids.TicketId(f"t{next(self.numbers)}")
        incarnation = node.incarnation

        def reply(answer: messages.Answer | None) -> None:
            event = events.QueryAnswered(effect.owner, answer)
            self.after(
                self._draw_latency(),
                lambda: self._deliver_unless_restarted(
                    node, incarnation, event
                ),
            )

        def give_up() -> None:
            if self.pending_replies.pop(ticket, None) is not None:
                reply(None)

        self.pending_replies[ticket] = (
            (lambda _: reply(None)) if lost else reply
        )
        self.after(1500, give_up)
        wait = datetime.timedelta(seconds=1)
        self.deliver(
            target,
            events.QueryArrived(ticket, effect.query, wait, forwarded=True),
        )

    def _report(
        self,
        node: nodes.Node,
        target: nodes.Node,
        effect: effects.SendReport,
        sent_at: datetime.timedelta,
        *,
        lost: bool,
    ) -> None:
        """Delivers a report to an entry, which may answer later."""
        ticket = ids.TicketId(f"t{next(self.numbers)}")

        def reply(directives: messages.Directives | None) -> None:
            event = events.ReportAnswered(
                effect.address, effect.report.sequence, sent_at, directives
            )
            self._schedule_event(node, self._draw_latency(), event)

        def give_up() -> None:
            if self.pending_reports.pop(ticket, None) is not None:
                reply(None)

        self.pending_reports[ticket] = (
            (lambda _: reply(None)) if lost else reply
        )
        self.after(1300, give_up)
        arrived = events.ReportArrived(ticket, effect.report, self.read_clock())
        self.deliver(target, arrived)

    def _call_process(
        self, target: nodes.Node, effect: Any
    ) -> base_events.Event | None:
        if not target.alive or target.frozen:
            return None
        if isinstance(effect, effects.PushDirectives):
            self.deliver(target, events.DirectivesArrived(effect.directives))
            return events.DirectivesPushed(effect.instance, True)
        ticket = ids.TicketId(f"t{next(self.numbers)}")
        wait = datetime.timedelta(seconds=1)
        self.deliver(
            target,
            events.QueryArrived(ticket, effect.query, wait, forwarded=True),
        )
        answer = self.verdicts.get(ticket)
        return events.HolderNotified(effect.address, answer)

    def _answer_query(self, effect: effects.AnswerQuery) -> None:
        self.verdicts[effect.owner] = effect.answer
        reply = self.pending_replies.pop(effect.owner, None)
        if reply is not None:
            reply(effect.answer)

    def _answer_report(self, effect: effects.ReplyReport) -> None:
        answer = self.pending_reports.pop(effect.owner, None)
        if answer is not None:
            answer(effect.directives)
