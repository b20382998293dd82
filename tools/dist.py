"""Builds an executable zip file for each program in `dist/`, with shiv.

The files need Python 3.11 at run time. They contain packages copied from the
environment that runs this script, so the versions are those of
`requirements.lock` and nothing is downloaded.
"""

import importlib.metadata
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Iterable
from typing import Any

from packaging import requirements, utils

ROOT = pathlib.Path(__file__).resolve().parent.parent
DIST = ROOT / "dist"
PYTHON = "/usr/bin/env python3.11"
PACKAGES = ("gypsumhold", "gypsumhold_standin")


def read_project() -> dict[str, Any]:
    """Returns the `project` table of pyproject.toml."""
    document = tomllib.loads((ROOT / "pyproject.toml").read_text())
    return dict(document["project"])


def list_distributions(
    dependencies: Iterable[str],
) -> dict[str, importlib.metadata.Distribution]:
    """Returns the installed distributions that satisfy some requirements.

    Args:
        dependencies: Requirement strings. Their own requirements are included;
            those whose markers exclude this platform are left out.

    Returns:
        The distributions by canonical name.
    """
    distributions: dict[str, importlib.metadata.Distribution] = {}
    pending = [requirements.Requirement(text) for text in dependencies]
    while pending:
        requirement = pending.pop()
        if requirement.marker and not requirement.marker.evaluate(
            {"extra": ""}
        ):
            continue
        name = utils.canonicalize_name(requirement.name)
        if name in distributions:
            continue
        distributions[name] = importlib.metadata.distribution(name)
        pending += map(
            requirements.Requirement, distributions[name].requires or ()
        )
    return distributions


def copy_distribution(
    distribution: importlib.metadata.Distribution, site: pathlib.Path
) -> None:
    """Copies the modules and metadata of a distribution into a directory."""
    for file in distribution.files or ():
        # Scripts and data files are installed outside the packages directory,
        # so their relative paths contain "..".
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        target = site / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(str(file.locate()), target)


def collect_packages(site: pathlib.Path, project: dict[str, Any]) -> None:
    """Copies the project's packages and their dependencies into a directory."""
    for distribution in list_distributions(project["dependencies"]).values():
        copy_distribution(distribution, site)
    for name in PACKAGES:
        shutil.copytree(
            ROOT / "src" / name,
            site / name,
            ignore=shutil.ignore_patterns("__pycache__"),
        )


def build_program(name: str, target: str, site: pathlib.Path) -> pathlib.Path:
    """Builds the executable file of one program.

    Args:
        name: Name of the program.
        target: Entry point, as `module:function`.
        site: Directory with the packages to include.

    Returns:
        Path of the file.
    """
    output = DIST / f"{name}.pyz"
    subprocess.run(
        [
            sys.executable,
            "-m",
            "shiv",
            "--site-packages",
            str(site),
            "--entry-point",
            target,
            "--python",
            PYTHON,
            "--reproducible",
            "--output-file",
            str(output),
        ],
        check=True,
        cwd=ROOT,
    )
    return output


def main() -> int:
    """Builds every program of pyproject.toml and prints the paths."""
    DIST.mkdir(exist_ok=True)
    project = read_project()
    with tempfile.TemporaryDirectory() as directory:
        site = pathlib.Path(directory) / "site"
        site.mkdir()
        collect_packages(site, project)
        for name, target in sorted(project["scripts"].items()):
            print(build_program(name, target, site).relative_to(ROOT))
    return 0


if __name__ == "__main__":
    sys.exit(main())
