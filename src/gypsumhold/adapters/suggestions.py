"""Suggests the nearest known key for an unknown key of a JSON document."""

import difflib
import typing
from typing import Any

import pydantic


def _list_annotations(model: type[pydantic.BaseModel]) -> dict[str, Any]:
    """Returns the annotations of the fields by key in the document."""
    return {
        field.alias or name: field.annotation
        for name, field in model.model_fields.items()
    }


def _find_model(annotation: Any) -> type[pydantic.BaseModel] | None:
    """Returns the first model inside an annotation, or None."""
    if isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    ):
        return annotation
    for argument in typing.get_args(annotation):
        model = _find_model(argument)
        if model is not None:
            return model
    return None


def list_known_keys(
    model: type[pydantic.BaseModel], location: tuple[int | str, ...]
) -> tuple[str, ...]:
    """Returns the keys that are allowed at a location in a document.

    Args:
        model: Model of the whole document.
        location: Path as pydantic reports it, without the unknown key.
    """
    for part in location:
        # List indices and mapping keys are not fields; `model` is already
        # the model of the values.
        annotations = _list_annotations(model)
        if not isinstance(part, str) or part not in annotations:
            continue
        nested = _find_model(annotations[part])
        if nested is None:
            return ()
        model = nested
    return tuple(_list_annotations(model))


def find_unknown_key(
    problem: pydantic.ValidationError, model: type[pydantic.BaseModel]
) -> tuple[str, str] | None:
    """Finds the first unknown key among the validation errors of a document.

    Callers report it before other errors, because a misspelt key is often
    reported as a missing key, too.

    Returns:
        The key with its location, and a remedy that names the nearest known
        key or all known keys; None if no key is unknown.
    """
    for error in problem.errors():
        if error["type"] != "extra_forbidden":
            continue
        *location, key = error["loc"]
        known_keys = list_known_keys(model, tuple(location))
        nearest = difflib.get_close_matches(
            str(key), known_keys, n=1, cutoff=0.5
        )
        parent = ".".join(str(part) for part in location)
        place = f"'{key}' in '{parent}'" if parent else f"'{key}'"
        if nearest:
            return place, f"did you mean '{nearest[0]}'?"
        return place, f"known keys are {', '.join(known_keys)}"
    return None
