"""Usage text and parsed options of gypsumctl."""

import dataclasses
import enum
from collections.abc import Callable, Mapping
from typing import Any

from returns.result import Failure, Result, Success

from gypsumhold.model import errors, ids, resources
from gypsumhold.model.jobs import specs

USAGE = """Manages the declarations, members and tasks of gypsumhold.

Usage:
  gypsumctl validate [--json] FILE...
  gypsumctl diff --config SETTINGS [--prune] [--json] FILE...
  gypsumctl apply --config SETTINGS --comment TEXT [--author NAME]
                  [--base VERSION] [--prune] [--json] FILE...
  gypsumctl history --config SETTINGS [--limit N] [--json]
  gypsumctl status --config SETTINGS [--check] [--json]
  gypsumctl drain --config SETTINGS [--json] INSTANCE
  gypsumctl retire --config SETTINGS [--json] INSTANCE
  gypsumctl submit --config SETTINGS --organisation NAME --kind NAME --key KEY
                   [--payload TEXT] [--cpu-millis N] [--memory-mb N]
                   [--accelerators N] [--json]
  gypsumctl task --config SETTINGS --organisation NAME [--json] ID
  gypsumctl list --config SETTINGS --organisation NAME [--json]
  gypsumctl cancel --config SETTINGS --organisation NAME [--json] ID
  gypsumctl where --config SETTINGS --organisation NAME --kind NAME [--json]
  gypsumctl where --config SETTINGS --queue NAME [--json] FILE
  gypsumctl explain [--json] ID [LOG...]
  gypsumctl --help
  gypsumctl --version

Commands:
  validate  Check declaration files; needs no entry.
  diff      Compare declaration files with the configuration in force.
  apply     Apply the objects of the files that differ from those in force.
  history   Show the accepted changes, newest first.
  status    Show entries, instances and their configuration versions.
  drain     Let an instance finish its work and accept no more.
  retire    Confirm that an instance is gone, so that its tasks move at once.
  submit    Submit a task; the same key gives the same task.
  task      Show one task.
  list      Show the tasks of an organisation.
  cancel    Cancel a task.
  where     Tell where a request, or the job in FILE, would go now, and why;
            sends neither. FILE is the body of a submission. A job needs the
            metrics address of the entries as 'operators' in the settings.
  explain   Tell the story of a job from log files of gypsumhold-node, and the
            cause of its end; needs no entry. Reads standard input without LOG.

Options:
  --config SETTINGS    Settings file: {entries: [{operators: {host, port},
                       callers: {host, port}}], operator_token}, JSON with
                       comments.
  --comment TEXT       Reason for the change; kept in the history.
  --author NAME        Author of the change; default is the login name.
  --base VERSION       Version that was reviewed; default is the one in force.
  --prune              Delete objects that the files do not declare.
  --limit N            Number of changes [default: 20].
  --check              Exit with 1 if an agent or entry lags behind.
  --organisation NAME  Organisation that pays for the task.
  --kind NAME          Template of the task or request.
  --queue NAME         Queue of the job.
  --key KEY            Idempotency key of the submission.
  --payload TEXT       Text for the worker, or @FILE to read it.
  --cpu-millis N       Declared processors, in thousandths of a core.
  --memory-mb N        Declared memory; needed together with --cpu-millis.
  --accelerators N     Declared accelerators.
  --json               Print the entry's answer unchanged, or the story.
  --help               Show this text.
  --version            Show the version.

Exit status: 0 done, 1 refused or lagging, 2 usage or bad input,
3 unavailable or result unknown.
"""


class ExitCode(enum.IntEnum):
    """Exit status of gypsumctl.

    Attributes:
        DONE: The command was carried out.
        REFUSED: The entry refused the command, or `--check` found a lag.
        BAD_INPUT: The usage, a file or the settings are wrong.
        UNKNOWN: No entry was available, or the result is unknown.
    """

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNKNOWN = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Validate:
    """Options of `validate`, which checks declaration files offline."""

    files: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Diff:
    """Options of `diff`, which compares files with the version in force.

    Attributes:
        files: Names of the declaration files.
        prune: Whether objects that the files do not declare are deleted.
    """

    files: tuple[str, ...]
    prune: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Options of `apply`, which applies declaration files.

    Attributes:
        files: Names of the declaration files.
        comment: Reason for the change.
        author: Author of the change; None for the login name.
        base: Version that was reviewed; None for the version in force.
        prune: Whether objects that the files do not declare are deleted.
    """

    files: tuple[str, ...]
    comment: str
    author: str | None = None
    base: ids.ConfigVersion | None = None
    prune: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """Options of `history`, which reads the latest `limit` changes."""

    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Options of `status`; `check` makes a lag change the exit status."""

    check: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Options of `drain`, which makes an instance refuse new work."""

    instance: ids.InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class Retire:
    """Options of `retire`, which confirms that an instance is gone."""

    instance: ids.InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Options of `submit`, which submits a task.

    Attributes:
        organisation: Organisation that pays for the task.
        kind: Template of the task.
        key: Idempotency key of the submission.
        payload: Text for the worker, or @FILE until the file is read.
        declared: Declared size of the task; None if none is declared.
    """

    organisation: ids.OrganisationId
    kind: ids.KindName
    key: ids.IdempotencyKey
    payload: str = ""
    declared: resources.Resources | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ShowTask:
    """Options of `task`, which reads one task."""

    organisation: ids.OrganisationId
    task_id: ids.TaskId


@dataclasses.dataclass(frozen=True, slots=True)
class ListTasks:
    """Options of `list`, which reads the tasks of an organisation."""

    organisation: ids.OrganisationId


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Options of `cancel`, which cancels a task."""

    organisation: ids.OrganisationId
    task_id: ids.TaskId


@dataclasses.dataclass(frozen=True, slots=True)
class PreviewRequest:
    """Options of `where` for a request."""

    organisation: ids.OrganisationId
    kind: ids.KindName


@dataclasses.dataclass(frozen=True, slots=True)
class PreviewJob:
    """Options of `where` for a job.

    Attributes:
        queue: Queue of the job.
        file: Name of the file with the body of a submission.
    """

    queue: specs.QueueName
    file: str


@dataclasses.dataclass(frozen=True, slots=True)
class Explain:
    """Options of `explain`, which reads log files offline.

    Attributes:
        job_id: The job.
        files: Names of the log files; none for standard input.
    """

    job_id: str
    files: tuple[str, ...]


# Commands that send calls to entries.
OnlineCommand = (
    Diff
    | Apply
    | History
    | Status
    | Drain
    | Retire
    | Submit
    | ShowTask
    | ListTasks
    | Cancel
    | PreviewRequest
    | PreviewJob
)
Command = Validate | Explain | OnlineCommand


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """All options of one run of gypsumctl.

    Attributes:
        command: The command with its options.
        settings: Name of the settings file; None for offline commands.
        raw: Whether to print JSON: the entry's answer unchanged or, for `diff`,
            the change. `validate` ignores it.
    """

    command: Command
    settings: str | None
    raw: bool


class _BadValue(ValueError):
    """The value of an option is invalid."""


def _parse_number(arguments: Mapping[str, Any], name: str) -> int | None:
    text = arguments[name]
    if text is None:
        return None
    # Only ASCII digits: int() would also accept signs, spaces and underscores.
    if not (text.isascii() and text.isdecimal()):
        raise _BadValue(f"{name} '{text}' is not a whole number")
    return int(text)


def _parse_declared(arguments: Mapping[str, Any]) -> resources.Resources | None:
    cpu = _parse_number(arguments, "--cpu-millis")
    memory = _parse_number(arguments, "--memory-mb")
    accelerators = _parse_number(arguments, "--accelerators")
    if cpu is None and memory is None and accelerators is None:
        return None
    # An omitted size would count as zero and overcommit the instance.
    if cpu is None or memory is None:
        raise _BadValue("a declared size requires --cpu-millis and --memory-mb")
    return resources.Resources(cpu, memory, accelerators or 0)


def _parse_apply(arguments: Mapping[str, Any]) -> Apply:
    base = _parse_number(arguments, "--base")
    return Apply(
        tuple(arguments["FILE"]),
        arguments["--comment"],
        arguments["--author"],
        None if base is None else ids.ConfigVersion(base),
        arguments["--prune"],
    )


def _parse_key(arguments: Mapping[str, Any]) -> ids.IdempotencyKey:
    text = arguments["--key"]
    # The key is sent as an HTTP header.
    if not (text and text.isascii() and text.isprintable()):
        raise _BadValue("--key must consist of printable ASCII characters")
    return ids.IdempotencyKey(text)


def _parse_submit(arguments: Mapping[str, Any]) -> Submit:
    return Submit(
        ids.OrganisationId(arguments["--organisation"]),
        ids.KindName(arguments["--kind"]),
        _parse_key(arguments),
        arguments["--payload"] or "",
        _parse_declared(arguments),
    )


def _parse_preview(
    arguments: Mapping[str, Any],
) -> PreviewRequest | PreviewJob:
    if arguments["--queue"] is None:
        return PreviewRequest(
            ids.OrganisationId(arguments["--organisation"]),
            ids.KindName(arguments["--kind"]),
        )
    queue = specs.QueueName(arguments["--queue"])
    return PreviewJob(queue, arguments["FILE"][0])


def _parse_command(arguments: Mapping[str, Any]) -> Command:
    files = tuple(arguments["FILE"])
    organisation = ids.OrganisationId(arguments["--organisation"] or "")
    task_id = ids.TaskId(arguments["ID"] or "")
    instance = ids.InstanceId(arguments["INSTANCE"] or "")
    parsers: Mapping[str, Callable[[], Command]] = {
        "validate": lambda: Validate(files),
        "diff": lambda: Diff(files, arguments["--prune"]),
        "apply": lambda: _parse_apply(arguments),
        "history": lambda: History(_parse_number(arguments, "--limit") or 0),
        "status": lambda: Status(arguments["--check"]),
        "drain": lambda: Drain(instance),
        "retire": lambda: Retire(instance),
        "submit": lambda: _parse_submit(arguments),
        "task": lambda: ShowTask(organisation, task_id),
        "list": lambda: ListTasks(organisation),
        "cancel": lambda: Cancel(organisation, task_id),
        "where": lambda: _parse_preview(arguments),
        "explain": lambda: Explain(task_id, tuple(arguments["LOG"])),
    }
    name = next(name for name in parsers if arguments[name])
    return parsers[name]()


def read_options(
    arguments: Mapping[str, Any],
) -> Result[Options, errors.Error]:
    """Converts the arguments that docopt parsed into options."""
    try:
        command = _parse_command(arguments)
    except _BadValue as problem:
        return Failure(
            errors.Error(
                errors.ErrorKind.BAD_SETTING,
                str(problem),
                "see 'gypsumctl --help'",
            )
        )
    return Success(Options(command, arguments["--config"], arguments["--json"]))
