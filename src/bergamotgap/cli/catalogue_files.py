"""Read and write catalogue files, with a header comment for the revision."""

import os
import re
from pathlib import Path

from bergamotgap.cli.exits import EXIT_REFUSED, EXIT_USAGE, CommandError
from bergamotgap.domain.catalogue import (
    MAX_CATALOGUE_BYTES,
    Catalogue,
    CatalogueError,
    parse_catalogue,
)

HEADER_PATTERN = re.compile(r"\A# revision: (\d{1,9})[ \t]*(?:\r?\n|\Z)")


def read_document(file: Path) -> str:
    """Return a file's text with unchanged line endings; raises CommandError."""
    try:
        with file.open("rb") as opened:
            # Enough for the check to refuse a file above the limit.
            content = opened.read(2 * MAX_CATALOGUE_BYTES)
        return content.decode()
    except OSError as error:
        detail = f"{file}: {error.strerror}"
        raise CommandError(EXIT_USAGE, "unreadable_file", detail) from error
    except UnicodeDecodeError as error:
        detail = f"{file}: byte {error.start}: not UTF-8"
        raise CommandError(EXIT_REFUSED, "invalid_catalogue", detail) from error


def write_document(file: Path, text: str) -> None:
    """Replace a file atomically, so that a full disk can't leave a partial file."""
    temporary = file.with_name(f".{file.name}.{os.getpid()}")
    try:
        temporary.write_bytes(text.encode())
        temporary.replace(file)
    except OSError as error:
        temporary.unlink(missing_ok=True)
        detail = f"{file}: not written: {error.strerror}"
        raise CommandError(EXIT_USAGE, "unwritable_file", detail) from error


def split_header(text: str) -> tuple[int | None, str]:
    """Return the revision of the header, if there is one, and the document."""
    match = HEADER_PATTERN.match(text)
    if match is None:
        return None, text
    return int(match.group(1)), text[match.end() :]


def add_header(revision: int, document: str) -> str:
    """Return the document with a header that names its revision."""
    return f"# revision: {revision}\n{document}"


def parse_document(document: str, file: Path) -> Catalogue:
    """Parse a document; raises CommandError with one line for each problem."""
    try:
        return parse_catalogue(document, str(file))
    except CatalogueError as error:
        problems = [str(problem) for problem in error.problems]
        payload = {"file": str(file), "problems": problems}
        raise CommandError(
            EXIT_REFUSED, "invalid_catalogue", str(error), payload
        ) from error
