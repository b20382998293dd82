"""Checks the import direction between packages and the isolation of I/O.

A package may import only itself and lower layers, only the programs use the
platform folder, and the model and the decisions do no input or output.
"""

import ast
import pathlib

import pytest

SOURCE = pathlib.Path(__file__).parent.parent / "src"
LAYERS = ("model", "decisions", "adapters", "programs")
IO_PACKAGES = {
    "cherrypy",
    "jsonc",
    "logbook",
    "socket",
    "threading",
    "thrift",
    "time",
    "urllib3",
}


def list_imports(path: pathlib.Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
    return names


@pytest.mark.parametrize("layer", LAYERS)
def test_packages_import_only_lower_layers(layer: str) -> None:
    allowed = LAYERS[: LAYERS.index(layer) + 1]
    for path in (SOURCE / "gypsumhold" / layer).rglob("*.py"):
        for name in list_imports(path):
            parts = name.split(".")
            assert parts[0] != "gypsumhold_standin", (path, name)
            if parts[0] == "gypsumhold" and parts[1:2] and parts[1] in LAYERS:
                assert parts[1] in allowed, (path, name)


PLATFORM_TERMS = (
    "fencingToken",
    "lastSeen",
    "memoryRequestMb",
    "untilMs",
    "remotePenalty",
    "expectedRevision",
    "run-start",
    "rows-tx",
)


def test_platform_terms_stay_in_the_platform_folder() -> None:
    for path in (SOURCE / "gypsumhold").rglob("*.py"):
        if "platform" in path.parts:
            continue
        text = path.read_text()
        assert not [term for term in PLATFORM_TERMS if term in text], path


@pytest.mark.parametrize("layer", LAYERS[:3])
def test_only_programs_import_the_platform_folder(layer: str) -> None:
    for path in (SOURCE / "gypsumhold" / layer).rglob("*.py"):
        names = list_imports(path)
        platform_imports = [
            import_name
            for import_name in names
            if import_name.startswith("gypsumhold.platform")
        ]
        assert not platform_imports, path


@pytest.mark.parametrize("layer", ("model", "decisions"))
def test_decisions_do_no_input_or_output(layer: str) -> None:
    for path in (SOURCE / "gypsumhold" / layer).rglob("*.py"):
        imported_packages = {name.split(".")[0] for name in list_imports(path)}
        assert not imported_packages & IO_PACKAGES, path
