"""Sends the calls of gypsumctl to entries."""

import dataclasses
import json
from typing import Any

import pydantic
import urllib3
from returns.result import Failure, Result, Success

from gypsumhold.adapters import declaration_files, operator_documents
from gypsumhold.model import errors, members
from gypsumhold.programs import ctl_answers, ctl_calls

# Longer than an entry's own limit for an apply, so that the client receives the
# entry's answer instead of timing out.
TIMEOUT = urllib3.Timeout(connect=2, read=15)


class _Document(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class _AddressDocument(_Document):
    host: str
    port: int = pydantic.Field(gt=0, le=65535)


class _EntryDocument(_Document):
    operators: _AddressDocument
    callers: _AddressDocument


class _SettingsDocument(_Document):
    entries: tuple[_EntryDocument, ...] = pydantic.Field(min_length=1)
    # Printable ASCII, because it is sent in an HTTP header.
    operator_token: str = pydantic.Field(pattern=r"^[!-~]+$")


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Addresses of one entry.

    Attributes:
        operators: Listener for operators, which requires the token.
        callers: Listener for callers.
    """

    operators: members.Address
    callers: members.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of gypsumctl.

    Attributes:
        entries: Entries in the order in which they are tried; at least one.
        operator_token: Bearer token for the operators' listeners.
    """

    entries: tuple[Entry, ...]
    operator_token: str


def _build_address(document: _AddressDocument) -> members.Address:
    return members.Address(document.host, document.port)


def read_settings(
    file: declaration_files.DeclarationFile,
) -> Result[Settings, errors.Error]:
    """Parses and validates a settings file."""
    return declaration_files.parse_json(
        file, errors.ErrorKind.BAD_SETTING
    ).bind(lambda raw: _check_settings(file.name, raw))


def _check_settings(name: str, raw: Any) -> Result[Settings, errors.Error]:
    try:
        document = _SettingsDocument.model_validate(raw)
    except pydantic.ValidationError as problem:
        return Failure(
            operator_documents.build_input_error(
                problem, _SettingsDocument, errors.ErrorKind.BAD_SETTING, name
            )
        )
    return Success(
        Settings(
            tuple(
                Entry(
                    _build_address(entry.operators),
                    _build_address(entry.callers),
                )
                for entry in document.entries
            ),
            document.operator_token,
        )
    )


def _parse_body(body: bytes) -> Any:
    try:
        return json.loads(body)
    # A body that is nested too deeply is a RecursionError.
    except (ValueError, RecursionError):
        return body.decode("utf-8", "replace")


class Client:
    """Sends calls to the entries of the settings, in their order."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT)

    def _build_headers(self, call: ctl_calls.Call) -> dict[str, str]:
        headers = dict(call.headers)
        if call.document is not None:
            headers["Content-Type"] = "application/json"
        if call.listener is ctl_calls.Listener.OPERATORS:
            headers["Authorization"] = f"Bearer {self._settings.operator_token}"
        return headers

    def send(self, entry: Entry, call: ctl_calls.Call) -> ctl_answers.Answer:
        """Sends a call to one entry and returns its answer."""
        address = (
            entry.operators
            if call.listener is ctl_calls.Listener.OPERATORS
            else entry.callers
        )
        body = (
            None
            if call.document is None
            else json.dumps(call.document, ensure_ascii=False).encode()
        )
        try:
            response = self._pool.request(
                call.method,
                f"http://{address}{call.target}",
                body=body,
                headers=self._build_headers(call),
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as problem:
            # These errors occur before the first byte of the call is sent.
            unsent = isinstance(
                problem,
                urllib3.exceptions.NewConnectionError
                | urllib3.exceptions.ConnectTimeoutError,
            )
            reason = "cannot connect" if unsent else type(problem).__name__
            return ctl_answers.Answer(str(address), 0, reason, not unsent)
        return ctl_answers.Answer(
            str(address), response.status, _parse_body(response.data)
        )

    def send_to_one(self, call: ctl_calls.Call) -> ctl_answers.Answer:
        """Sends a call to one entry after another until one answers it.

        After a failure, the next entry is tried only if the call was certainly
        not sent, or if it is idempotent and the entry gave no answer or a
        server error.
        """
        answer = self.send(self._settings.entries[0], call)
        for entry in self._settings.entries[1:]:
            failed = answer.status == 0 or answer.status >= 500
            if not failed or (answer.sent and not call.idempotent):
                break
            answer = self.send(entry, call)
        return answer

    def send_to_every(self, call: ctl_calls.Call) -> list[ctl_answers.Answer]:
        """Sends a call to every entry and returns all answers."""
        return [self.send(entry, call) for entry in self._settings.entries]
