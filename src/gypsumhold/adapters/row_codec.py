"""Converts table rows, transactions and commit answers to and from JSON."""

from typing import Annotated, Any, Literal

import pydantic
from returns.result import Result

from gypsumhold.adapters import json_documents, row_values
from gypsumhold.model import errors, ids, rows, states


class _RowDocument(json_documents.Document):
    key: str
    version: Annotated[int, pydantic.Field(strict=True, ge=1)]
    operation: str
    value: row_values.ValueDocument


class _ConditionDocument(json_documents.Document):
    key: str
    version: json_documents.NonNegativeInt


class _WriteDocument(json_documents.Document):
    key: str
    value: row_values.ValueDocument | None


class _TransactionDocument(json_documents.Document):
    operation: str = pydantic.Field(min_length=1)
    conditions: tuple[_ConditionDocument, ...]
    writes: tuple[_WriteDocument, ...]


class _RowsDocument(json_documents.Document):
    rows: tuple[_RowDocument, ...]


class _CommittedDocument(json_documents.Document):
    result: Literal["committed"]


class _ConflictDocument(json_documents.Document):
    result: Literal["conflict"]
    rows: tuple[_RowDocument, ...]


_CommitDocument = pydantic.TypeAdapter[_CommittedDocument | _ConflictDocument](
    Annotated[
        _CommittedDocument | _ConflictDocument,
        pydantic.Field(discriminator="result"),
    ]
)


def _build_row(document: _RowDocument) -> rows.Row:
    return rows.Row(
        key=ids.RowKey(document.key),
        version=ids.RowVersion(document.version),
        operation=ids.OperationId(document.operation),
        value=row_values.build_value(document.value),
    )


def _build_write(document: _WriteDocument) -> rows.Write:
    value = document.value
    return rows.Write(
        ids.RowKey(document.key),
        None if value is None else row_values.build_value(value),
    )


def _build_transaction(document: _TransactionDocument) -> rows.Transaction:
    return rows.Transaction(
        operation=ids.OperationId(document.operation),
        conditions=tuple(
            rows.Condition(
                ids.RowKey(condition.key), ids.RowVersion(condition.version)
            )
            for condition in document.conditions
        ),
        writes=tuple(map(_build_write, document.writes)),
    )


def _build_commit_answer(
    document: _CommittedDocument | _ConflictDocument,
) -> rows.CommitAnswer:
    if isinstance(document, _CommittedDocument):
        return rows.CommitAnswer(states.CommitResult.COMMITTED)
    return rows.CommitAnswer(
        states.CommitResult.CONFLICT, tuple(map(_build_row, document.rows))
    )


def parse_row(raw: object) -> Result[rows.Row, errors.Error]:
    """Validates and converts the JSON document of a row."""
    return json_documents.convert_document(
        "row", lambda: _build_row(_RowDocument.model_validate(raw))
    )


def parse_rows(raw: object) -> Result[tuple[rows.Row, ...], errors.Error]:
    """Validates and converts one page of rows."""
    return json_documents.convert_document(
        "rows",
        lambda: tuple(map(_build_row, _RowsDocument.model_validate(raw).rows)),
    )


def parse_transaction(raw: object) -> Result[rows.Transaction, errors.Error]:
    """Validates and converts the JSON document of a transaction."""
    return json_documents.convert_document(
        "transaction",
        lambda: _build_transaction(_TransactionDocument.model_validate(raw)),
    )


def parse_commit_answer(
    raw: object,
) -> Result[rows.CommitAnswer, errors.Error]:
    """Validates and converts the table's answer to a transaction."""
    return json_documents.convert_document(
        "commit answer",
        lambda: _build_commit_answer(_CommitDocument.validate_python(raw)),
    )


def render_row(row: rows.Row) -> dict[str, Any]:
    """Returns the JSON document of a row."""
    return {
        "key": row.key,
        "version": row.version,
        "operation": row.operation,
        "value": row_values.render_value(row.value),
    }


def _render_write(write: rows.Write) -> dict[str, Any]:
    value = write.value
    return {
        "key": write.key,
        "value": None if value is None else row_values.render_value(value),
    }


def render_transaction(transaction: rows.Transaction) -> dict[str, Any]:
    """Returns the JSON document of a transaction."""
    return {
        "operation": transaction.operation,
        "conditions": [
            {"key": condition.key, "version": condition.version}
            for condition in transaction.conditions
        ],
        "writes": [_render_write(write) for write in transaction.writes],
    }


def render_commit_answer(answer: rows.CommitAnswer) -> dict[str, Any]:
    """Returns the JSON document of an answer to a transaction.

    The result must be COMMITTED or CONFLICT.
    """
    if answer.result is states.CommitResult.COMMITTED:
        return {"result": answer.result.value}
    return {
        "result": answer.result.value,
        "rows": [render_row(row) for row in answer.rows],
    }
