"""Translates the commands of gypsumctl into HTTP calls."""

import dataclasses
import enum
import urllib.parse
from collections.abc import Callable, Mapping
from typing import Any

from gypsumhold.adapters import (
    declaration_documents,
    differences,
    operator_documents,
)
from gypsumhold.model import declarations
from gypsumhold.programs import ctl_options

TASKS_PATH = "/gypsumhold/v1/tasks"


class Listener(enum.StrEnum):
    """The listener of an entry that a call is sent to."""

    OPERATORS = "operators"
    CALLERS = "callers"


class Recipients(enum.StrEnum):
    """The entries that a call is sent to."""

    ONE = "one"
    EVERY = "every"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call to an entry.

    Attributes:
        listener: Listener that the call is sent to.
        method: HTTP method.
        target: Path and query, percent-encoded.
        document: JSON body; None for no body.
        headers: Headers other than those that the client adds.
        idempotent: Whether the call may be repeated. If so, it is sent to
            another entry after an unknown result.
        recipients: Entries that the call is sent to.
    """

    listener: Listener
    method: str
    target: str
    document: Any = None
    headers: tuple[tuple[str, str], ...] = ()
    idempotent: bool = True
    recipients: Recipients = Recipients.ONE


READ_CONFIGURATION = Call(Listener.OPERATORS, "GET", "/v1/config")
READ_STATUS = Call(
    Listener.OPERATORS, "GET", "/v1/status", recipients=Recipients.EVERY
)


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")


def _build_submit(command: ctl_options.Submit) -> Call:
    document: dict[str, Any] = {
        "organisation": command.organisation,
        "kind": command.kind,
        "payload": command.payload,
    }
    if command.declared is not None:
        document["declared"] = declaration_documents.render_resources(
            command.declared
        )
    return Call(
        Listener.CALLERS,
        "POST",
        TASKS_PATH,
        document,
        (("Idempotency-Key", command.key),),
    )


def _build_task_target(
    command: ctl_options.ShowTask | ctl_options.Cancel,
) -> str:
    return (
        f"{TASKS_PATH}/{_quote(command.task_id)}"
        f"?organisation={_quote(command.organisation)}"
    )


def _build_list(command: ctl_options.ListTasks) -> Call:
    target = f"{TASKS_PATH}?organisation={_quote(command.organisation)}"
    return Call(Listener.CALLERS, "GET", target)


def _build_history(command: ctl_options.History) -> Call:
    target = f"/v1/config/history?limit={command.limit}"
    return Call(Listener.OPERATORS, "GET", target)


def _build_drain(command: ctl_options.Drain) -> Call:
    target = f"/v1/drain/{_quote(command.instance)}"
    return Call(Listener.OPERATORS, "POST", target)


def _build_retire(command: ctl_options.Retire) -> Call:
    # Sent to every entry, because each moves only the tasks of the partitions
    # that it holds.
    target = f"/v1/retire/{_quote(command.instance)}"
    return Call(Listener.OPERATORS, "POST", target, recipients=Recipients.EVERY)


def _build_request_preview(command: ctl_options.PreviewRequest) -> Call:
    target = (
        f"/v1/where?organisation={_quote(command.organisation)}"
        f"&kind={_quote(command.kind)}"
    )
    return Call(Listener.OPERATORS, "GET", target)


def build_job_preview(command: ctl_options.PreviewJob, document: Any) -> Call:
    """Returns the call that tells where a job would go; it changes nothing.

    Args:
        command: The command.
        document: Body of a submission.
    """
    target = f"/v1/where?queue={_quote(command.queue)}"
    return Call(Listener.OPERATORS, "POST", target, document)


_BUILDERS: Mapping[type, Callable[[Any], Call]] = {
    ctl_options.Diff: lambda _: READ_CONFIGURATION,
    ctl_options.Apply: lambda _: READ_CONFIGURATION,
    ctl_options.History: _build_history,
    ctl_options.Status: lambda _: READ_STATUS,
    ctl_options.Drain: _build_drain,
    ctl_options.Retire: _build_retire,
    ctl_options.Submit: _build_submit,
    ctl_options.ShowTask: lambda command: Call(
        Listener.CALLERS, "GET", _build_task_target(command)
    ),
    ctl_options.ListTasks: _build_list,
    ctl_options.PreviewRequest: _build_request_preview,
    ctl_options.Cancel: lambda command: Call(
        Listener.CALLERS, "DELETE", _build_task_target(command)
    ),
}


def build_call(command: ctl_options.OnlineCommand) -> Call:
    """Returns the first call of a command.

    `diff` and `apply` first read the configuration in force.
    """
    return _BUILDERS[type(command)](command)


def build_apply(
    command: ctl_options.Apply,
    author: str,
    current: declarations.Configuration,
    desired: declarations.Change,
) -> Call | None:
    """Returns the call that applies declaration files.

    Args:
        command: The command.
        author: Author of the change, kept in the history.
        current: The configuration in force.
        desired: All objects of the declaration files.

    Returns:
        The call, or None if the files do not differ from the
        configuration in force.
    """
    change = dataclasses.replace(
        differences.compute_change(current, desired, command.prune),
        author=author,
        comment=command.comment,
    )
    if differences.is_empty(change):
        return None
    base = current.version if command.base is None else command.base
    # Not idempotent: if only the answer was lost, a repeat conflicts with the
    # first call.
    return Call(
        Listener.OPERATORS,
        "POST",
        "/v1/config",
        operator_documents.render_apply(change, base),
        idempotent=False,
    )
