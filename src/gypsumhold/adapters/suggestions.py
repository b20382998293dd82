"""Names the nearest known key when a JSON document has an unknown one."""

import difflib
import typing
from typing import Any

import pydantic


def _list_keys(model: type[pydantic.BaseModel]) -> dict[str, Any]:
    return {
        field.alias or name: field.annotation
        for name, field in model.model_fields.items()
    }


def _find_model(annotation: Any) -> type[pydantic.BaseModel] | None:
    if isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    ):
        return annotation
    for argument in typing.get_args(annotation):
        found = _find_model(argument)
        if found is not None:
            return found
    return None


def list_known_keys(
    model: type[pydantic.BaseModel], location: tuple[int | str, ...]
) -> tuple[str, ...]:
    """Returns the keys that are allowed at a location of a document.

    Args:
        model: Model of the whole document.
        location: Path as pydantic reports it, without the faulty key.
    """
    for part in location:
        # Positions in lists and names in mappings are no fields; the model
        # of the values stays the current one.
        known = _list_keys(model)
        if not isinstance(part, str) or part not in known:
            continue
        inner = _find_model(known[part])
        if inner is None:
            return ()
        model = inner
    return tuple(_list_keys(model))


def find_unknown_key(
    problem: pydantic.ValidationError, model: type[pydantic.BaseModel]
) -> tuple[str, str] | None:
    """Looks for an unknown key among the faults of a document.

    Returns:
        Where the key is and what its writer may have meant, or None. It goes
        before other faults: a misspelt key is often reported as a missing one
        as well.
    """
    for fault in problem.errors():
        if fault["type"] != "extra_forbidden":
            continue
        *location, key = fault["loc"]
        known = list_known_keys(model, tuple(location))
        nearest = difflib.get_close_matches(str(key), known, n=1, cutoff=0.5)
        where = ".".join(str(part) for part in location)
        place = f"'{key}' in '{where}'" if where else f"'{key}'"
        if nearest:
            return place, f"did you mean '{nearest[0]}'?"
        return place, f"known keys are {', '.join(known)}"
    return None
