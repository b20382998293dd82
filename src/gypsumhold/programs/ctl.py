"""Command line of gypsumctl, the tool of the operators."""

import dataclasses
import getpass
import pathlib
import sys
from collections.abc import Sequence

import docopt
from returns.result import Failure, Result, Success

from gypsumhold import VERSION
from gypsumhold.adapters import (
    declaration_files,
    differences,
    operator_documents,
)
from gypsumhold.decisions import consistency
from gypsumhold.model import declarations, errors
from gypsumhold.programs import (
    ctl_answers,
    ctl_calls,
    ctl_client,
    ctl_explain,
    ctl_options,
    ctl_status,
)


def _read_text(
    name: str,
) -> Result[declaration_files.DeclarationFile, errors.Error]:
    try:
        text = pathlib.Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as problem:
        reason = getattr(problem, "strerror", None) or str(problem)
        return Failure(
            errors.Error(
                errors.ErrorKind.BAD_SETTING,
                f"cannot read {name}: {reason}",
                "check the name and the encoding of the file",
            )
        )
    return Success(declaration_files.DeclarationFile(name, text))


def read_declarations(
    names: Sequence[str],
) -> Result[declarations.Change, errors.Error]:
    """Reads declaration files and merges them into one change."""
    files: list[declaration_files.DeclarationFile] = []
    for name in names:
        file = _read_text(name)
        if isinstance(file, Failure):
            return file
        files.append(file.unwrap())
    return declaration_files.merge_files(files)


def _validate(command: ctl_options.Validate) -> ctl_answers.Report:
    match read_declarations(command.files):
        case Failure(problem):
            return ctl_answers.report_error(problem)
        case Success(desired):
            # An organisation may name a kind that the files do not declare:
            # its template may already be in force, which only an entry knows.
            merged = declarations.apply_change(declarations.EMPTY, desired)
            unresolved = consistency.check_references(merged)
            note = (
                f"note: {unresolved.message} in these files\n"
                if unresolved
                else ""
            )
            return ctl_answers.Report(
                f"{len(desired.templates)} templates and "
                f"{len(desired.organisations)} organisations are well formed\n"
                + note
            )
    raise AssertionError("a result is a success or a failure")


def _compare_or_apply(
    options: ctl_options.Options,
    command: ctl_options.Diff | ctl_options.Apply,
    client: ctl_client.Client,
) -> ctl_answers.Report:
    desired = read_declarations(command.files)
    if isinstance(desired, Failure):
        return ctl_answers.report_error(desired.failure())
    answer = client.send_to_one(ctl_calls.READ_CONFIGURATION)
    if not answer.succeeded:
        return ctl_answers.report_answer(command, answer, options.raw)
    match operator_documents.parse_configuration(answer.document):
        case Failure(problem):
            return ctl_answers.report_error(
                problem, ctl_options.ExitCode.UNKNOWN
            )
        case Success(current):
            if isinstance(command, ctl_options.Diff):
                return _report_difference(
                    options, command, current, desired.unwrap()
                )
            return _apply(options, command, client, current, desired.unwrap())
    raise AssertionError("a result is a success or a failure")


def _report_difference(
    options: ctl_options.Options,
    command: ctl_options.Diff,
    current: declarations.Configuration,
    desired: declarations.Change,
) -> ctl_answers.Report:
    change = differences.compute_change(current, desired, command.prune)
    if options.raw:
        document = operator_documents.render_apply(change, current.version)
        return ctl_answers.render_json(document)
    problem = consistency.check_change(current, change)
    text = differences.render_difference(current, change)
    if problem is None or differences.is_empty(change):
        return ctl_answers.Report(text)
    refusal = ctl_answers.report_error(problem, ctl_options.ExitCode.REFUSED)
    return dataclasses.replace(refusal, text=f"{text}{refusal.text}")


def _read_login() -> str | None:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return None


def _apply(
    options: ctl_options.Options,
    command: ctl_options.Apply,
    client: ctl_client.Client,
    current: declarations.Configuration,
    desired: declarations.Change,
) -> ctl_answers.Report:
    author = command.author or _read_login()
    if author is None:
        return ctl_answers.report_error(
            errors.Error(
                errors.ErrorKind.BAD_SETTING,
                "the login name is unknown",
                "name the author with --author",
            )
        )
    call = ctl_calls.build_apply(command, author, current, desired)
    if call is None:
        return ctl_answers.Report(
            f"nothing to apply: version {current.version} has these objects "
            "already\n"
        )
    return ctl_answers.report_answer(
        command, client.send_to_one(call), options.raw
    )


def _load_payload(
    command: ctl_options.Submit,
) -> Result[ctl_options.Submit, errors.Error]:
    if not command.payload.startswith("@"):
        return Success(command)
    return _read_text(command.payload[1:]).map(
        lambda file: dataclasses.replace(command, payload=file.text)
    )


def _preview_job(
    command: ctl_options.PreviewJob, client: ctl_client.Client, raw: bool
) -> ctl_answers.Report:
    loaded = _read_text(command.file).bind(
        lambda file: declaration_files.parse_json(
            file, errors.ErrorKind.BAD_BODY
        )
    )
    if isinstance(loaded, Failure):
        return ctl_answers.report_error(loaded.failure())
    call = ctl_calls.build_job_preview(command, loaded.unwrap())
    return ctl_answers.report_answer(command, client.send_to_one(call), raw)


def _run_online(
    options: ctl_options.Options,
    command: ctl_options.OnlineCommand,
    client: ctl_client.Client,
) -> ctl_answers.Report:
    if isinstance(command, ctl_options.Diff | ctl_options.Apply):
        return _compare_or_apply(options, command, client)
    if isinstance(command, ctl_options.Submit):
        loaded = _load_payload(command)
        if isinstance(loaded, Failure):
            return ctl_answers.report_error(loaded.failure())
        command = loaded.unwrap()
    if isinstance(command, ctl_options.PreviewJob):
        return _preview_job(command, client, options.raw)
    call = ctl_calls.build_call(command)
    if isinstance(command, ctl_options.Status):
        answers = client.send_to_every(call)
        return ctl_status.report_status(command, answers, options.raw)
    if isinstance(command, ctl_options.Retire):
        answers = client.send_to_every(call)
        return ctl_answers.report_retirement(command, answers, options.raw)
    return ctl_answers.report_answer(
        command, client.send_to_one(call), options.raw
    )


def run(options: ctl_options.Options) -> ctl_answers.Report:
    """Runs one command and returns its report, also if it fails.

    All commands except `validate` and `explain` read the settings file.
    """
    if isinstance(options.command, ctl_options.Validate):
        return _validate(options.command)
    if isinstance(options.command, ctl_options.Explain):
        return ctl_explain.report_story(options.command, options.raw)
    settings = _read_text(options.settings or "").bind(ctl_client.read_settings)
    match settings:
        case Success(client_settings):
            client = ctl_client.Client(client_settings)
            return _run_online(options, options.command, client)
    return ctl_answers.report_error(settings.failure())


def main(argv: list[str] | None = None) -> int:
    """Runs gypsumctl and returns its exit status.

    Args:
        argv: Arguments without the program's name; None for those of the
            process.
    """
    try:
        arguments = docopt.docopt(
            ctl_options.USAGE, argv, version=f"gypsumctl {VERSION}"
        )
    except docopt.DocoptExit as problem:
        print(problem.code, file=sys.stderr)
        return ctl_options.ExitCode.BAD_INPUT
    options = ctl_options.read_options(arguments)
    match options:
        case Success(parsed_options):
            report = run(parsed_options)
        case _:
            report = ctl_answers.report_error(options.failure())
    stream = sys.stderr if report.is_error else sys.stdout
    print(report.text, end="", file=stream)
    return report.code


if __name__ == "__main__":
    sys.exit(main())
