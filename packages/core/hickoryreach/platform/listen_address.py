"""Listen address for callers, read before any library is loaded."""

import pathlib

SECTION = "listen:"
FIELD = "front:"


def read_front_address(path: str) -> tuple[str, int] | None:
    """Returns the host and port for callers, or None if they are not found.

    Only the YAML block style in which the platform writes the settings file
    is supported. Any other style, and any fault, is left to `node.load`,
    which reads the whole file once a YAML library is loaded.
    """
    try:
        lines = pathlib.Path(path).read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError):
        return None
    in_section = False
    for line in lines:
        text = line.strip()
        if line and not line[0].isspace():
            in_section = text == SECTION
        elif in_section and text.startswith(FIELD):
            return _parse_address(text.removeprefix(FIELD))
    return None


def _parse_address(text: str) -> tuple[str, int] | None:
    host, _, port = text.strip().strip("\"'").rpartition(":")
    if not host or not port.isdecimal():
        return None
    return host, int(port)
