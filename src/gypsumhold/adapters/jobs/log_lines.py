"""Parses lines of the decision log."""

import datetime
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from gypsumhold.model.jobs import stories

_OWN_FIELDS = frozenset({"time", "source", "decision", "id", "outcome"})
_DECODER = msgspec.json.Decoder(dict[str, str])


def parse_lines(texts: Iterable[str]) -> Iterator[stories.LogLine]:
    """Yields the lines that a decision log wrote; leaves all others out.

    Text before the JSON object of a line is ignored.
    """
    for text in texts:
        line = parse_line(text)
        if line is not None:
            yield line


def parse_line(text: str) -> stories.LogLine | None:
    """Parses one line; None if it is not of a decision log."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        return _build_line(_DECODER.decode(text[start:]))
    except (msgspec.MsgspecError, KeyError, ValueError):
        return None


def _build_line(fields: Mapping[str, str]) -> stories.LogLine:
    return stories.LogLine(
        datetime.datetime.fromisoformat(fields["time"]),
        fields.get("source", ""),
        fields["decision"],
        fields["id"],
        fields["outcome"],
        {
            name: value
            for name, value in fields.items()
            if name not in _OWN_FIELDS
        },
    )
