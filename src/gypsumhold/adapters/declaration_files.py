"""Declaration files of operators: JSON with comments, merged by name."""

import dataclasses
import json
from collections.abc import Iterable, Sequence
from typing import Any

import jsonc
from returns.result import Failure, Result, Success

from gypsumhold.adapters import operations
from gypsumhold.model import declarations, errors

EXCERPT_LENGTH = 40


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationFile:
    """Name and text of one file."""

    name: str
    text: str


class _RepeatedKey(ValueError):
    """A key occurs twice in one JSON object; the first would be lost."""


def _reject_repeated(pairs: Sequence[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, value in pairs:
        if key in found:
            raise _RepeatedKey(f"key '{key}' occurs twice in one object")
        found[key] = value
    return found


def _locate(file: DeclarationFile, problem: json.JSONDecodeError) -> str:
    # jsonc removes block comments with their line ends, so that line numbers
    # after one would be wrong.
    if "/*" not in file.text:
        return f"line {problem.lineno}, column {problem.colno}"
    start = max(0, problem.pos - EXCERPT_LENGTH)
    excerpt = " ".join(problem.doc[start : problem.pos + 1].split())
    return f"after '{excerpt}'"


def decode_json(
    file: DeclarationFile, kind: errors.ErrorKind
) -> Result[Any, errors.Error]:
    """Decodes JSON with comments."""
    try:
        return Success(
            jsonc.loads(file.text, object_pairs_hook=_reject_repeated)
        )
    except json.JSONDecodeError as problem:
        return Failure(
            errors.Error(
                kind,
                f"{file.name}: {_locate(file, problem)}: {problem.msg}",
                "write JSON; // and /* */ comments are allowed",
            )
        )
    except RecursionError:
        return Failure(
            errors.Error(
                kind, f"{file.name}: nested too deeply", "flatten the document"
            )
        )
    except _RepeatedKey as problem:
        return Failure(
            errors.Error(kind, f"{file.name}: {problem}", "keep one of the two")
        )


def read_file(
    file: DeclarationFile,
) -> Result[declarations.Change, errors.Error]:
    """Reads one declaration file."""
    return decode_json(file, errors.ErrorKind.BAD_DECLARATION).bind(
        lambda raw: operations.read_put(raw, file.name)
    )


def _refuse_repeated(form: str, name: str, first: str, second: str) -> Any:
    where = (
        f"twice in {first}"
        if first == second
        else f"in {first} and in {second}"
    )
    return Failure(
        errors.Error(
            errors.ErrorKind.BAD_DECLARATION,
            f"{form} '{name}' is defined {where}",
            "keep one of the two definitions",
        )
    )


def merge_files(
    files: Iterable[DeclarationFile],
) -> Result[declarations.Change, errors.Error]:
    """Reads several files as one set of declared objects.

    Returns:
        A change that puts all objects, sorted by name; without version,
        author and comment. Fails if a name is defined twice.
    """
    origins: dict[tuple[str, str], str] = {}
    templates: list[declarations.Template] = []
    organisations: list[declarations.Organisation] = []
    for file in files:
        result = read_file(file)
        if isinstance(result, Failure):
            return result
        part = result.unwrap()
        for form, names in (
            ("template", [item.name for item in part.templates]),
            ("organisation", [item.name for item in part.organisations]),
        ):
            for name in names:
                first = origins.get((form, name))
                if first is not None:
                    return _refuse_repeated(form, name, first, file.name)
                origins[form, name] = file.name
        templates += part.templates
        organisations += part.organisations
    return Success(
        declarations.Change(
            declarations.NO_VERSION,
            tuple(sorted(templates, key=lambda item: item.name)),
            tuple(sorted(organisations, key=lambda item: item.name)),
        )
    )
