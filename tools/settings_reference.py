"""Generates docs/settings.md from the types that check the settings files.

With `--check`, writes nothing and exits with 1 if the page is out of date.
"""

import argparse
import dataclasses
import datetime
import enum
import pathlib
import sys
import types
import typing
from typing import Annotated, Any

import pydantic
from pydantic_core import PydanticUndefined

from gypsumhold.adapters import settings
from gypsumhold.model import options
from gypsumhold.model.jobs import scheduler_options

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "settings.md"
ROLES: tuple[tuple[str, type[pydantic.BaseModel], type], ...] = (
    ("gypsumhold-entry", settings.EntrySettings, options.EntryOptions),
    ("gypsumhold-agent", settings.AgentSettings, options.AgentOptions),
    (
        "gypsumhold-node",
        settings.NodeFileSettings,
        scheduler_options.SchedulerOptions,
    ),
)
TYPE_NAMES = {
    "str": "text",
    "int": "integer",
    "bool": "true or false",
    "SecretStr": "secret",
    "IPvAnyAddress": "IP number",
    "IPv4Address": "IP number",
    "IPv6Address": "IP number",
}
HEADER = """# Settings

Made by `make reference` from the checked types; do not edit. Files are JSON
with comments. A secret is a string or `{"file": "path"}`. Keys under `tuning`
that are left out keep the default of the options object.
"""


def describe_type(annotation: Any) -> str:
    """Returns a short description of a field's type for the table."""
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return ", ".join(repr(member.value) for member in annotation)
    if isinstance(annotation, type) and not typing.get_args(annotation):
        return TYPE_NAMES.get(annotation.__name__, annotation.__name__)
    if typing.get_origin(annotation) is Annotated:
        return describe_type(typing.get_args(annotation)[0])
    parts = [
        describe_type(argument)
        for argument in typing.get_args(annotation)
        if argument not in (types.NoneType, Ellipsis)
    ]
    if typing.get_origin(annotation) is tuple:
        return f"list of {parts[0]}"
    if typing.get_origin(annotation) is typing.Literal:
        return ", ".join(map(repr, typing.get_args(annotation)))
    return " or ".join(dict.fromkeys(parts))


def find_models(annotation: Any) -> list[type[pydantic.BaseModel]]:
    """Returns the pydantic models that an annotation contains."""
    if isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    ):
        return [annotation]
    return [
        model
        for argument in typing.get_args(annotation)
        for model in find_models(argument)
    ]


def describe_default(name: str, default: Any, defaults: dict[str, Any]) -> str:
    """Returns the default of a field as Markdown, or *required*.

    Args:
        name: Name of the field.
        default: Default of the field in the settings model. None means that
            the options object supplies the default.
        defaults: Defaults of the options object by field name; a duration has
            the name of the settings field without `_ms`.
    """
    if default is PydanticUndefined:
        return "*required*"
    if isinstance(default, pydantic.BaseModel):
        return ""
    if isinstance(default, bool):
        return f"`{str(default).lower()}`"
    if default is not None:
        return f"`{getattr(default, 'value', default)}`"
    value = defaults.get(name.removesuffix("_ms"))
    if isinstance(value, datetime.timedelta):
        return f"`{value // datetime.timedelta(milliseconds=1)}`"
    return f"`{value}`" if isinstance(value, int) else "none"


def render_rows(
    model: type[pydantic.BaseModel], prefix: str, defaults: dict[str, Any]
) -> list[str]:
    """Returns the table rows of a model and of the models nested in it.

    Args:
        model: Model whose fields are rendered.
        prefix: Text before each key, for example `entries[].`.
        defaults: Defaults of the options object by field name.
    """
    rows = []
    for name, field in model.model_fields.items():
        key = f"{prefix}{field.alias or name}"
        default = describe_default(name, field.default, defaults)
        nested = find_models(field.annotation)
        if nested:
            is_list = typing.get_origin(field.annotation) is tuple
            nested_prefix = f"{key}[]." if is_list else f"{key}."
            rows += render_rows(nested[0], nested_prefix, defaults)
        else:
            rows.append(
                f"| `{key}` | {describe_type(field.annotation)} | {default} |"
            )
    return rows


def list_defaults(option_type: type) -> dict[str, Any]:
    """Returns the defaults of an options dataclass by field name."""
    return {
        field.name: field.default for field in dataclasses.fields(option_type)
    }


def render() -> str:
    """Returns the page as Markdown."""
    parts = [HEADER]
    for program, model, option_type in ROLES:
        parts.append(
            f"\n## {program}\n\n| key | type | default |\n|---|---|---|"
        )
        parts += render_rows(model, "", list_defaults(option_type))
    return "\n".join(parts) + "\n"


def main() -> int:
    """Writes or checks the page and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    if not parser.parse_args().check:
        PAGE.write_text(render(), "utf-8")
        return 0
    return int(PAGE.read_text("utf-8") != render())


if __name__ == "__main__":
    sys.exit(main())
