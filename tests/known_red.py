"""Reads KNOWN-RED.txt, the tests that fail for a fault not mended yet."""

import pathlib

PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_FIELD = "test: "


def get_known_red(path: pathlib.Path = PATH) -> frozenset[str]:
    """Returns the dotted names of the tests listed in the file."""
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(
        line.removeprefix(TEST_FIELD).strip()
        for line in lines
        if line.startswith(TEST_FIELD)
    )
