"""Build the single-file executable: `python -m tools.binary --output FILE`.

It needs no network: the distributions of `requirements-run.lock` are copied from the
running environment, as installed by `make install`. shiv packs them with the project's
own package, without compiled bytecode.
"""

import importlib.metadata
import re
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import typer

ROOT = Path(__file__).resolve().parent.parent
LOCK = ROOT / "requirements-run.lock"
PACKAGE = ROOT / "src" / "bergamotgap"
ENTRY_POINT = "bergamotgap.cli.main:main"
PYTHON = f"/usr/bin/env python3.{sys.version_info.minor}"
# Files of installed packages that the program never loads.
EXCLUDED_FILES = re.compile(r"(^|/)(tests?|__pycache__)/|\.(pyi|pyx|pxd|c|h)$")


class BuildError(Exception):
    """An installed package is missing or differs from its locked version."""


def copy_distributions(target: Path, lock: Path = LOCK) -> None:
    """Copy the files of all locked distributions to `target`; raises BuildError."""
    for line in lock.read_text().split():
        name, _, version = line.partition("==")
        try:
            distribution = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError as error:
            raise BuildError(f"{name} is not installed; run `make install`") from error
        if distribution.version != version:
            found = distribution.version
            raise BuildError(f"{name}: {found} is installed, but {version} is locked")
        for file in distribution.files or ():
            _copy_file(Path(str(distribution.locate_file(file))), str(file), target)


def _copy_file(source: Path, name: str, target: Path) -> None:
    # Names that begin with `..` are scripts in the environment's bin directory.
    if name.startswith("..") or EXCLUDED_FILES.search(name):
        return
    copy = target / name
    copy.parent.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(source, copy)


def build(output: Path) -> None:
    """Build the executable; raises BuildError."""
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        target = Path(directory) / "site-packages"
        copy_distributions(target)
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(PACKAGE, target / "bergamotgap", ignore=ignored)
        command = [
            *[sys.executable, "-m", "shiv", "--compressed", "--reproducible"],
            *["--python", PYTHON, "--entry-point", ENTRY_POINT],
            *["--site-packages", str(target), "--output-file", str(output)],
        ]
        subprocess.run(command, check=True)


def main(
    output: Annotated[Path, typer.Option(help="file to write")] = ROOT
    / "dist"
    / "bergamotgap",
) -> None:
    """Build the single-file executable."""
    try:
        build(output)
    except BuildError as error:
        sys.exit(f"binary: {error}")


if __name__ == "__main__":
    typer.run(main)
