"""The address for callers, read before any library is loaded."""

import pathlib

SECTION = "listen:"
FIELD = "front:"


def read_front_address(path: str) -> tuple[str, int] | None:
    """Returns host and port for callers, or None if they are not found.

    It reads the plain block form in which the platform writes the file; any
    other form, and what is wrong, is left to the reading of the whole file.
    """
    try:
        lines = pathlib.Path(path).read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError):
        return None
    within = False
    for line in lines:
        text = line.strip()
        if line and not line[0].isspace():
            within = text == SECTION
        elif within and text.startswith(FIELD):
            return _parse_address(text.removeprefix(FIELD))
    return None


def _parse_address(text: str) -> tuple[str, int] | None:
    host, _, port = text.strip().strip("\"'").rpartition(":")
    if not host or not port.isdecimal():
        return None
    return host, int(port)
