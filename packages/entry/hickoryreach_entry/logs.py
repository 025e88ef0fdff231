"""Log lines of key=value pairs."""

import logging
import sys

import logfmter

FORMAT_KEYS = ["at", "level", "logger"]
FORMAT_MAPPING = {
    "at": "asctime",
    "level": "levelname",
    "logger": "name",
}


def set_up(level: str) -> None:
    """Writes one key=value line per event to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        logfmter.Logfmter(keys=FORMAT_KEYS, mapping=FORMAT_MAPPING)
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
