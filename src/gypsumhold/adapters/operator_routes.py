"""HTTP routes for operators, which map calls to operations of an entry.

`adapters.operator_server` has the HTTP server.
"""

import datetime
import hmac
import json
import uuid
from collections.abc import Callable

from returns.result import Failure, Result, Success

from gypsumhold.adapters import (
    declaration_documents,
    operator_calls,
    operator_documents,
)
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
# An instance is retired only if its agent has been silent for this time. A
# task that still runs on a retired instance would be started elsewhere, too.
RETIREMENT_SILENCE = datetime.timedelta(seconds=3)
DEFAULT_HISTORY_LIMIT = 20
MAX_HISTORY_LIMIT = 1000


class OperatorRoutes:
    """Answers the operator routes of an entry.

    Args:
        control: Operations of the entry.
        token: Token that operators must send.
        wall_clock: Clock for the time in audit records.
    """

    def __init__(
        self,
        control: operator_calls.Control,
        token: str,
        wall_clock: clock.Clock,
    ) -> None:
        self._control = control
        self._expected_authorization = f"Bearer {token}".encode()
        self._wall_clock = wall_clock
        self._public_routes: dict[
            tuple[str, str],
            Callable[[operator_calls.Call], operator_calls.Reply],
        ] = {
            ("GET", "/health"): self._reply_health,
            ("GET", "/metrics"): self._reply_metrics,
        }
        self._authenticated_routes: dict[
            tuple[str, str],
            Callable[[operator_calls.Call], operator_calls.Reply],
        ] = {
            ("POST", "/v1/config"): self._apply,
            ("GET", "/v1/config"): self._reply_configuration,
            ("GET", "/v1/config/history"): self._reply_history,
            ("GET", "/v1/status"): self._reply_status,
            ("GET", "/v1/where"): self._reply_preview,
        }
        self._instance_routes: dict[
            str, Callable[[ids.InstanceId], operator_calls.Reply]
        ] = {
            "drain": self._drain,
            "retire": self._retire,
        }

    def answer(self, call: operator_calls.Call) -> operator_calls.Reply:
        """Answers a call; all routes but health and metrics need the token."""
        key = (call.method, call.path)
        if key in self._public_routes:
            return self._public_routes[key](call)
        # Comparing bytes in constant time does not leak the token through the
        # time of the answer.
        sent = call.authorization.encode("utf-8", "surrogateescape")
        if not hmac.compare_digest(sent, self._expected_authorization):
            return operator_calls.reply_error(
                401,
                errors.Error(
                    errors.ErrorKind.UNAUTHORISED,
                    "the operator token is missing or wrong",
                    "send 'Authorization: Bearer <operator_token>'",
                ),
            )
        if key in self._authenticated_routes:
            return self._authenticated_routes[key](call)
        return self._answer_instance_call(call)

    def _answer_instance_call(
        self, call: operator_calls.Call
    ) -> operator_calls.Reply:
        """Answers a call that concerns one instance, or an unknown call."""
        match call.path.split("/"):
            case ["", "v1", action, name] if (
                action in self._instance_routes and name
            ):
                if call.method == "POST":
                    return self._instance_routes[action](ids.InstanceId(name))
        known_paths = {
            path
            for _, path in (*self._public_routes, *self._authenticated_routes)
        }
        code = 405 if call.path in known_paths else 404
        return operator_calls.reply_error(
            code,
            errors.Error(
                errors.ErrorKind.BAD_BODY,
                f"no route for {call.method} {call.path}",
                "use gypsumctl, or see section 11 of docs/design.md",
            ),
        )

    def _reply_health(self, _: operator_calls.Call) -> operator_calls.Reply:
        entry = self._control.read_status().entry
        if not entry.ready:
            return operator_calls.reply_error(
                503,
                errors.Error(
                    errors.ErrorKind.PLATFORM_UNAVAILABLE,
                    "the entry has no configuration yet, or is stopping; "
                    "the table "
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

    def _reply_metrics(self, _: operator_calls.Call) -> operator_calls.Reply:
        return operator_calls.Reply(
            200,
            self._control.read_metrics(),
            "text/plain; version=0.0.4; charset=utf-8",
        )

    def _reply_configuration(
        self, _: operator_calls.Call
    ) -> operator_calls.Reply:
        return operator_calls.reply_json(
            200,
            operator_documents.render_configuration(
                self._control.read_configuration()
            ),
        )

    def _reply_status(self, _: operator_calls.Call) -> operator_calls.Reply:
        accepted = self._read_head().value_or(None)
        return operator_calls.reply_json(
            200,
            operator_documents.render_status(
                self._control.read_status(), accepted
            ),
        )

    def _reply_preview(self, call: operator_calls.Call) -> operator_calls.Reply:
        names = [call.query.get(name, "") for name in ("organisation", "kind")]
        if not all(names):
            return operator_calls.reply_error(
                400,
                errors.Error(
                    errors.ErrorKind.BAD_BODY,
                    "the query lacks the organisation or the kind",
                    "send both, as 'organisation=NAME&kind=NAME'",
                ),
            )
        preview = self._control.preview_request(
            ids.OrganisationId(names[0]), ids.KindName(names[1])
        )
        return operator_calls.reply_json(
            200, operator_documents.render_preview(preview)
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
        """Reads the changes after version `after` up to version `head`.

        Returns:
            The changes, or None if a read failed.
        """
        changes: list[declarations.Change] = []
        key = rows.build_change_key(after)
        last = rows.build_change_key(head)
        # A read may return only the first part of the rows.
        while key < last:
            page = self._control.read_rows(rows.CHANGE_PREFIX, key)
            if page is None:
                return None
            if not page:
                break
            changes += [
                row.value.change
                for row in page
                if isinstance(row.value, rows.ChangeRow)
            ]
            key = page[-1].key
        return changes

    def _reply_history(self, call: operator_calls.Call) -> operator_calls.Reply:
        text = call.query.get("limit", str(DEFAULT_HISTORY_LIMIT))
        if not text.isdecimal() or not 0 < int(text) <= MAX_HISTORY_LIMIT:
            return operator_calls.reply_error(
                400,
                errors.Error(
                    errors.ErrorKind.BAD_BODY,
                    f"limit '{text}' is not a number of changes",
                    f"use a number from 1 to {MAX_HISTORY_LIMIT}",
                ),
            )
        match self._read_head():
            case Success(head):
                after = ids.ConfigVersion(max(0, head - int(text)))
                changes = self._read_changes(after, head)
                if changes is not None:
                    newest = [
                        declaration_documents.render_change(change)
                        for change in reversed(changes)
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
        # A body that is nested too deeply is a RecursionError.
        except (ValueError, RecursionError) as problem:
            return operator_calls.reply_error(
                400,
                errors.Error(
                    errors.ErrorKind.BAD_BODY,
                    f"the body is not JSON: {problem}",
                    "send a JSON object in UTF-8",
                ),
            )
        match operator_documents.parse_apply(raw, self._wall_clock.read_wall()):
            case Failure(problem):
                return operator_calls.reply_error(400, problem)
            case Success(change):
                return self._apply_change(change)
        raise AssertionError("a result is a success or a failure")

    def _apply_change(
        self, change: declarations.Change
    ) -> operator_calls.Reply:
        base = ids.ConfigVersion(change.version - 1)
        current = self._control.read_configuration()
        if base > current.version:
            return operator_calls.reply_error(
                503,
                errors.Error(
                    errors.ErrorKind.PLATFORM_UNAVAILABLE,
                    f"this entry has only version {current.version}, so it "
                    f"cannot check a change based on version {base}",
                    "try again after the time in Retry-After",
                ),
            )
        # Versions only rise, so an older base version is always a conflict.
        if base < current.version:
            return self._reply_conflict(base)
        problem = consistency.check_change(current, change)
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
                "check with 'gypsumctl history' before you apply again",
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
                "review the change with 'gypsumctl diff', then apply it to "
                "the new version",
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
        statuses = {
            status.name: status
            for status in self._control.read_status().instances
        }
        member = statuses.get(instance)
        if member is not None and member.age < RETIREMENT_SILENCE:
            return operator_calls.reply_error(
                409,
                errors.Error(
                    errors.ErrorKind.PEER_REFUSED,
                    f"the agent of '{instance}' still announces itself",
                    "stop the instance first; to empty it, use "
                    "'gypsumctl drain'",
                ),
            )
        # An unknown instance can be retired, too: its last announcement may be
        # older than this entry, and the table may still have its tasks.
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
            "list the known instances with 'gypsumctl status'",
        ),
    )


def _describe_conflict(
    base: ids.ConfigVersion, changes: list[declarations.Change]
) -> str:
    """Returns a message that names the first change after `base`."""
    if not changes:
        return f"version {base} is no longer in force"
    first = changes[0]
    later = len(changes) - 1
    suffix = f"; {later} more followed" if later else ""
    return (
        f"version {base} is no longer in force: {first.author} applied "
        f'version {first.version} at {first.time} ("{first.comment}"){suffix}'
    )
