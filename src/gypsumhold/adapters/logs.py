"""Sets up the log, as plain lines or as one JSON object per line."""

import contextlib
import datetime
import json
import sys
from typing import TextIO

import logbook
import logbook.compat

_LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}

PLAIN_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name}"
    " {record.channel}: {record.message}"
)


def format_json(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    """Returns a log record as one JSON object without line breaks."""
    document = {
        "time": record.time.replace(tzinfo=datetime.UTC).isoformat(),
        "level": record.level_name.lower(),
        "channel": record.channel,
        "message": record.message,
        **{str(name): str(value) for name, value in record.extra.items()},
    }
    if record.formatted_exception:
        document["exception"] = record.formatted_exception
    return json.dumps(document)


def open_log(
    stack: contextlib.ExitStack,
    level: str,
    as_json: bool,
    stream: TextIO = sys.stderr,
) -> None:
    """Writes all log records of the process to a stream.

    Args:
        stack: Removes the handlers when it closes.
        level: Lowest level that is written: debug, info, warning or error.
        as_json: Whether each line is a JSON object.
        stream: Stream to write to.
    """
    handler = logbook.StreamHandler(
        stream, level=_LEVELS[level], format_string=PLAIN_FORMAT
    )
    if as_json:
        handler.formatter = format_json
    handler.push_application()
    stack.callback(handler.pop_application)
    # Libraries log with the standard logging module.
    redirect = logbook.compat.redirected_logging()
    redirect.start()
    stack.callback(redirect.end)
