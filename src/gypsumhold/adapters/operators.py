"""Operator HTTP of an entry: from one HTTP call to one operation and back.

The listener that brings the calls is in `adapters.operator_server`.
"""

import datetime
import hmac
import json
import uuid
from collections.abc import Callable

from returns.result import Failure, Result, Success

from gypsumhold.adapters import documents, operations, operator_calls
from gypsumhold.decisions import consistency
from gypsumhold.model import (
    clock,
    declarations,
    effects,
    errors,
    events,
    ids,
    rows,
    states,
)

APPLY_TIMEOUT = datetime.timedelta(seconds=10)
# An agent that was heard of within this time is alive; retiring its instance
# would let a task that still runs there be started elsewhere.
ALIVE_WITHIN = datetime.timedelta(seconds=3)
DEFAULT_HISTORY = 20
MAX_HISTORY = 1000


class OperatorRoutes:
    """Serves the operator routes of one entry.

    Args:
        control: The entry.
        token: Token that operators send.
        wall: Tells the time for audit records.
    """

    def __init__(
        self, control: operator_calls.Control, token: str, wall: clock.Clock
    ) -> None:
        self._control = control
        self._expected = f"Bearer {token}".encode()
        self._wall = wall
        self._open: dict[
            tuple[str, str],
            Callable[[operator_calls.Call], operator_calls.Reply],
        ] = {
            ("GET", "/health"): self._read_health,
            ("GET", "/metrics"): self._read_metrics,
        }
        self._guarded: dict[
            tuple[str, str],
            Callable[[operator_calls.Call], operator_calls.Reply],
        ] = {
            ("POST", "/v1/config"): self._apply,
            ("GET", "/v1/config"): self._read_configuration,
            ("GET", "/v1/config/history"): self._read_history,
            ("GET", "/v1/status"): self._read_status,
        }
        self._instances: dict[
            str, Callable[[ids.InstanceId], operator_calls.Reply]
        ] = {
            "drain": self._drain,
            "retire": self._retire,
        }

    def answer(self, call: operator_calls.Call) -> operator_calls.Reply:
        """Answers one call."""
        key = (call.method, call.path)
        if key in self._open:
            return self._open[key](call)
        # Compared as bytes in constant time, so that the time of an answer
        # tells nothing of the token.
        sent = call.authorization.encode("utf-8", "surrogateescape")
        if not hmac.compare_digest(sent, self._expected):
            return operator_calls.reply_error(
                401,
                errors.Error(
                    errors.ErrorKind.UNAUTHORISED,
                    "the operator token is missing or wrong",
                    "send 'Authorization: Bearer <operator_token>'",
                ),
            )
        if key in self._guarded:
            return self._guarded[key](call)
        return self._answer_instance(call)

    def _answer_instance(
        self, call: operator_calls.Call
    ) -> operator_calls.Reply:
        match call.path.split("/"):
            case ["", "v1", action, name] if action in self._instances and name:
                if call.method == "POST":
                    return self._instances[action](ids.InstanceId(name))
        known = {path for _, path in (*self._open, *self._guarded)}
        code = 405 if call.path in known else 404
        return operator_calls.reply_error(
            code,
            errors.Error(
                errors.ErrorKind.BAD_BODY,
                f"no route for {call.method} {call.path}",
                "use gypsumctl, or see section 11 of docs/design.md",
            ),
        )

    def _read_health(self, _: operator_calls.Call) -> operator_calls.Reply:
        entry = self._control.read_status().entry
        if not entry.ready:
            return operator_calls.reply_error(
                503,
                errors.Error(
                    errors.ErrorKind.PLATFORM_UNAVAILABLE,
                    "the entry has no configuration yet; the table "
                    + (
                        "answers"
                        if entry.table_reachable
                        else "does not answer"
                    ),
                    "wait, or check the table's address in the settings",
                ),
            )
        return operator_calls.reply_json(
            200, {"ready": True, "config_version": entry.config_version}
        )

    def _read_metrics(self, _: operator_calls.Call) -> operator_calls.Reply:
        return operator_calls.Reply(
            200,
            self._control.read_metrics(),
            "text/plain; version=0.0.4; charset=utf-8",
        )

    def _read_configuration(
        self, _: operator_calls.Call
    ) -> operator_calls.Reply:
        return operator_calls.reply_json(
            200,
            operations.render_configuration(self._control.read_configuration()),
        )

    def _read_status(self, _: operator_calls.Call) -> operator_calls.Reply:
        accepted = self._read_head().value_or(None)
        return operator_calls.reply_json(
            200, operations.render_status(self._control.read_status(), accepted)
        )

    def _read_head(self) -> Result[ids.ConfigVersion, errors.Error]:
        return self._control.read_row(rows.HEAD_KEY).map(
            lambda row: (
                row.value.version
                if row is not None and isinstance(row.value, rows.HeadRow)
                else declarations.NO_VERSION
            )
        )

    def _read_changes(
        self, after: ids.ConfigVersion, head: ids.ConfigVersion
    ) -> list[declarations.Change] | None:
        """Returns the changes after a version, or None if a read failed."""
        found: list[declarations.Change] = []
        key = rows.name_change_row(after)
        last = rows.name_change_row(head)
        # A read may return only the first part of the rows.
        while key < last:
            page = self._control.read_rows(rows.CHANGE_PREFIX, key)
            if page is None:
                return None
            if not page:
                break
            found += [
                row.value.change
                for row in page
                if isinstance(row.value, rows.ChangeRow)
            ]
            key = page[-1].key
        return found

    def _read_history(self, call: operator_calls.Call) -> operator_calls.Reply:
        text = call.query.get("limit", str(DEFAULT_HISTORY))
        if not text.isdecimal() or not 0 < int(text) <= MAX_HISTORY:
            return operator_calls.reply_error(
                400,
                errors.Error(
                    errors.ErrorKind.BAD_BODY,
                    f"limit '{text}' is not a number of changes",
                    f"use a number from 1 to {MAX_HISTORY}",
                ),
            )
        match self._read_head():
            case Success(head):
                after = ids.ConfigVersion(max(0, head - int(text)))
                changes = self._read_changes(after, head)
                if changes is not None:
                    newest = [
                        documents.render_change(item)
                        for item in reversed(changes)
                    ]
                    return operator_calls.reply_json(
                        200, {"version": head, "changes": newest}
                    )
        return operator_calls.reply_table_unavailable(
            "the history cannot be read"
        )

    def _apply(self, call: operator_calls.Call) -> operator_calls.Reply:
        try:
            raw = json.loads(call.body)
        except ValueError as problem:
            return operator_calls.reply_error(
                400,
                errors.Error(
                    errors.ErrorKind.BAD_BODY,
                    f"the body is not JSON: {problem}",
                    "send a JSON object in UTF-8",
                ),
            )
        match operations.read_apply(raw, self._wall.read_wall()):
            case Failure(problem):
                return operator_calls.reply_error(400, problem)
            case Success(change):
                return self._apply_change(change)
        raise AssertionError("a result is a success or a failure")

    def _apply_change(
        self, change: declarations.Change
    ) -> operator_calls.Reply:
        base = ids.ConfigVersion(change.version - 1)
        present = self._control.read_configuration()
        if base > present.version:
            return operator_calls.reply_error(
                503,
                errors.Error(
                    errors.ErrorKind.PLATFORM_UNAVAILABLE,
                    f"this entry has version {present.version} only, so it "
                    f"cannot check a change of version {base}",
                    "try again after the time in Retry-After",
                ),
            )
        # Versions never revert, so an older base is a conflict already.
        if base < present.version:
            return self._reply_conflict(base)
        problem = consistency.check_change(present, change)
        if problem is not None:
            return operator_calls.reply_error(422, problem)
        ticket = ids.TicketId(uuid.uuid4().hex)
        answer = self._control.apply(
            events.ApplyArrived(ticket, base, change), APPLY_TIMEOUT
        )
        return self._reply_applied(base, answer)

    def _reply_applied(
        self, base: ids.ConfigVersion, answer: effects.AnswerTicket | None
    ) -> operator_calls.Reply:
        result = answer.result if answer else states.SubmissionResult.UNKNOWN
        detail = answer.detail if answer else ""
        match result:
            case states.SubmissionResult.ACCEPTED if answer:
                return operator_calls.reply_json(
                    200, {"version": answer.version}
                )
            case states.SubmissionResult.CONFLICT:
                return self._reply_conflict(base)
            case states.SubmissionResult.UNAVAILABLE:
                return operator_calls.reply_table_unavailable(
                    "nothing was changed"
                )
            case states.SubmissionResult.REFUSED:
                return operator_calls.reply_error(
                    422,
                    errors.Error(
                        errors.ErrorKind.BAD_DECLARATION,
                        detail or "the change was refused",
                        "correct the change and apply it again",
                    ),
                )
        return operator_calls.reply_error(
            504,
            errors.Error(
                errors.ErrorKind.PLATFORM_UNAVAILABLE,
                "the table did not confirm the change; it may be in force",
                "look for it with 'gypsumctl history' before you apply again",
            ),
        )

    def _reply_conflict(self, base: ids.ConfigVersion) -> operator_calls.Reply:
        head = self._read_head().value_or(declarations.NO_VERSION)
        changes = self._read_changes(base, head) or []
        return operator_calls.reply_error(
            409,
            errors.Error(
                errors.ErrorKind.VERSION_CONFLICT,
                _describe_conflict(base, changes),
                "review it with 'gypsumctl diff', then apply on the new "
                "version",
            ),
        )

    def _drain(self, instance: ids.InstanceId) -> operator_calls.Reply:
        address = self._control.find_agent(instance)
        if address is None:
            return _reply_unknown_instance(instance)
        if not self._control.drain(address):
            return operator_calls.reply_error(
                503,
                errors.Error(
                    errors.ErrorKind.PEER_UNAVAILABLE,
                    f"the agent of '{instance}' at {address} did not answer",
                    "try again; if the instance is gone, use "
                    "'gypsumctl retire'",
                ),
            )
        return operator_calls.reply_json(
            200, {"instance": instance, "draining": True}
        )

    def _retire(self, instance: ids.InstanceId) -> operator_calls.Reply:
        known = {
            item.name: item for item in self._control.read_status().instances
        }
        member = known.get(instance)
        if member is not None and member.age < ALIVE_WITHIN:
            return operator_calls.reply_error(
                409,
                errors.Error(
                    errors.ErrorKind.PEER_REFUSED,
                    f"the agent of '{instance}' still announces itself",
                    "stop the instance first; to empty it, use "
                    "'gypsumctl drain'",
                ),
            )
        # An unknown instance is retired too: its tasks may be in the table
        # although this entry started after the last announcement.
        self._control.retire(instance)
        return operator_calls.reply_json(
            200, {"instance": instance, "retired": True}
        )


def _reply_unknown_instance(instance: ids.InstanceId) -> operator_calls.Reply:
    return operator_calls.reply_error(
        404,
        errors.Error(
            errors.ErrorKind.UNKNOWN_INSTANCE,
            f"no agent of '{instance}' has announced itself to this entry",
            "see the names in 'gypsumctl status'",
        ),
    )


def _describe_conflict(
    base: ids.ConfigVersion, changes: list[declarations.Change]
) -> str:
    if not changes:
        return f"version {base} is no longer in force"
    other = changes[0]
    later = len(changes) - 1
    suffix = f"; {later} more followed" if later else ""
    return (
        f"version {base} is no longer in force: {other.author} applied "
        f'version {other.version} at {other.time} ("{other.comment}"){suffix}'
    )
