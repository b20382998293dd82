"""Reads declaration files: JSON with comments, merged into one change."""

import dataclasses
import json
from collections.abc import Iterable, Sequence
from typing import Any

import jsonc
from returns.result import Failure, Result, Success

from gypsumhold.adapters import operator_documents
from gypsumhold.model import declarations, errors

EXCERPT_LENGTH = 40
"""Characters of the text before an error that its message quotes."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationFile:
    """Name and text of a declaration file or another JSON file."""

    name: str
    text: str


class _RepeatedKeyError(ValueError):
    """A key occurs twice in a JSON object.

    The parser of the library would silently drop the first value.
    """


def _reject_repeated_keys(pairs: Sequence[tuple[str, Any]]) -> dict[str, Any]:
    document: dict[str, Any] = {}
    for key, value in pairs:
        if key in document:
            raise _RepeatedKeyError(f"key '{key}' occurs twice in one object")
        document[key] = value
    return document


def _locate_error(file: DeclarationFile, problem: json.JSONDecodeError) -> str:
    """Returns the position of a syntax error as text."""
    # jsonc removes block comments including their line breaks, so line numbers
    # after a block comment would be wrong.
    if "/*" not in file.text:
        return f"line {problem.lineno}, column {problem.colno}"
    start = max(0, problem.pos - EXCERPT_LENGTH)
    excerpt = " ".join(problem.doc[start : problem.pos + 1].split())
    return f"after '{excerpt}'"


def parse_json(
    file: DeclarationFile, kind: errors.ErrorKind
) -> Result[Any, errors.Error]:
    """Parses JSON with comments.

    Returns:
        The parsed value, or an error of `kind` that names the file. For a
        syntax error it gives the line and column, or quotes the text before
        the error if the file has block comments.
    """
    try:
        return Success(
            jsonc.loads(file.text, object_pairs_hook=_reject_repeated_keys)
        )
    except json.JSONDecodeError as problem:
        return Failure(
            errors.Error(
                kind,
                f"{file.name}: {_locate_error(file, problem)}: {problem.msg}",
                "write JSON; // and /* */ comments are allowed",
            )
        )
    except RecursionError:
        return Failure(
            errors.Error(
                kind, f"{file.name}: nested too deeply", "flatten the document"
            )
        )
    except _RepeatedKeyError as problem:
        return Failure(
            errors.Error(kind, f"{file.name}: {problem}", "keep one of the two")
        )


def parse_file(
    file: DeclarationFile,
) -> Result[declarations.Change, errors.Error]:
    """Parses and validates a declaration file."""
    return parse_json(file, errors.ErrorKind.BAD_DECLARATION).bind(
        lambda raw: operator_documents.parse_put(raw, file.name)
    )


def _build_duplicate_failure(
    object_type: str, name: str, first: str, second: str
) -> Any:
    """Returns the failure for an object that is defined twice."""
    location = (
        f"twice in {first}"
        if first == second
        else f"in {first} and in {second}"
    )
    return Failure(
        errors.Error(
            errors.ErrorKind.BAD_DECLARATION,
            f"{object_type} '{name}' is defined {location}",
            "keep one of the two definitions",
        )
    )


def merge_files(
    files: Iterable[DeclarationFile],
) -> Result[declarations.Change, errors.Error]:
    """Reads several declaration files and merges their objects.

    Returns:
        A change that puts all objects, sorted by name, without version, author
        and comment; or an error if a file is invalid or an object is defined
        twice.
    """
    origins: dict[tuple[str, str], str] = {}
    templates: list[declarations.Template] = []
    organisations: list[declarations.Organisation] = []
    for file in files:
        result = parse_file(file)
        if isinstance(result, Failure):
            return result
        change = result.unwrap()
        for object_type, names in (
            ("template", [template.name for template in change.templates]),
            (
                "organisation",
                [organisation.name for organisation in change.organisations],
            ),
        ):
            for name in names:
                first = origins.get((object_type, name))
                if first is not None:
                    return _build_duplicate_failure(
                        object_type, name, first, file.name
                    )
                origins[object_type, name] = file.name
        templates += change.templates
        organisations += change.organisations
    return Success(
        declarations.Change(
            declarations.NO_VERSION,
            tuple(sorted(templates, key=lambda item: item.name)),
            tuple(sorted(organisations, key=lambda item: item.name)),
        )
    )
