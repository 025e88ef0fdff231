"""The address for callers, read without what the whole settings need."""

import pathlib

import yaml


def read_front(path: str) -> tuple[str, int] | None:
    """Returns host and port for callers, or None if the file tells none.

    What is wrong with the file is told when it is read whole.
    """
    try:
        rows = yaml.load(
            pathlib.Path(path).read_text(encoding="utf-8"),
            Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader),
        )
        host, port = rows["listen"]["front"].rsplit(":", 1)
        return host, int(port)
    except (
        OSError,
        UnicodeDecodeError,
        yaml.YAMLError,
        TypeError,
        KeyError,
        AttributeError,
        ValueError,
    ):
        return None
