"""Tests reading, merging and comparing declaration files."""

import pytest
from returns.result import Failure
from syrupy.assertion import SnapshotAssertion

from gypsumhold.adapters import declaration_files, differences
from gypsumhold.model import declarations
from gypsumhold.programs import ctl_client

TEMPLATE = '{"name": "k", "work": "request", "class": "urgent"}'
FIRST = f'{{"templates": [{TEMPLATE}]}}'
SECOND = """{
  // A comment, and "//" inside a text stays.
  "organisations": [{"name": "o", "quota": {"cpu_millis": 5},
                     "kinds": {"k": {"timeout_ms": 70}}}],
}"""


def merge(*texts: str) -> object:
    return declaration_files.merge_files(
        declaration_files.DeclarationFile(f"f{number}.jsonc", text)
        for number, text in enumerate(texts)
    )


@pytest.mark.parametrize(
    "texts",
    [
        (FIRST, FIRST),
        (f'{{"templates": [{TEMPLATE}, {TEMPLATE}]}}',),
        ('{"template": []}',),
        ('{"templates": [{"name": "k", "clas": "urgent"}]}',),
        ('{"organisations": [{"name": "o", "kinds": {}, "quoat": {}}]}',),
        (
            '{"organisations": [{"name": "o", "kinds": {},'
            ' "quota": {"memory": 1}}]}',
        ),
        ('{"organisations": [{"name": "o", "kinds": {"k": {"timeout": 1}}}]}',),
        ('{"organisations": [{"name": "o", "kinds": {"k": {}, "k": {}}}]}',),
        ('{"templates": [{"name": "K"}]}',),
        ("[]",),
        ('{"templates": [',),
        ("",),
        ('{/* one\n two */\n"templates": []\n"organisations": []}',),
        ("[" * 100_000,),
    ],
)
def test_error_names_bad_file(
    texts: tuple[str, ...], snapshot: SnapshotAssertion
) -> None:
    """Guards against invalid input that is accepted or not located."""
    result = merge(*texts)
    assert isinstance(result, Failure)
    assert str(result.failure()) == snapshot


def test_difference_is_stable(snapshot: SnapshotAssertion) -> None:
    """Guards against a diff whose order depends on the order of the files."""
    desired = merge(FIRST, SECOND).unwrap()  # type: ignore[attr-defined]
    swapped = merge(SECOND, FIRST).unwrap()  # type: ignore[attr-defined]
    assert desired == swapped
    empty = declarations.EMPTY
    text = differences.render_difference(
        empty, differences.compute_change(empty, desired, False)
    )
    current = declarations.apply_change(empty, desired)
    changed = merge(  # type: ignore[attr-defined]
        FIRST.replace("urgent", "batch"), SECOND.replace("70", "80")
    ).unwrap()
    pruned = declarations.Change(current.version, changed.templates)
    assert text == snapshot
    for target in (desired, changed, pruned):
        assert (
            differences.render_difference(
                current, differences.compute_change(current, target, True)
            )
            == snapshot
        )


@pytest.mark.parametrize(
    "text",
    [
        '{"entries": [], "operator_token": "t"}',
        '{"entries": [{"operator": {}}], "operator_token": "t"}',
        '{"entry": [], "operator_token": "t"}',
        '{"entries": [{"operators": {"host": "h", "port": 70000},'
        ' "callers": {"host": "h", "port": 1}}], "operator_token": "t"}',
    ],
)
def test_error_names_bad_setting(
    text: str, snapshot: SnapshotAssertion
) -> None:
    """Guards against a wrong setting that is reported only when it is used."""
    result = ctl_client.read_settings(
        declaration_files.DeclarationFile("s.json", text)
    )
    assert isinstance(result, Failure)
    assert str(result.failure()) == snapshot
