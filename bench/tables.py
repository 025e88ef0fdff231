"""Prints build/bench.json as tables for the docs: `python -m bench.tables`."""

from collections.abc import Iterable

import orjson

from bench import __main__ as bench


def format_row(values: Iterable[object]) -> str:
    """Returns a row of a table; None shows as a dash."""
    texts = (
        "—"
        if value is None
        else f"{value:g}"
        if isinstance(value, float)
        else str(value)
        for value in values
    )
    return f"| {' | '.join(texts)} |"


def main() -> None:
    """Prints a table of every row."""
    rows = orjson.loads(bench.ROWS_PATH.read_bytes())
    print(format_row(title for _, title in bench.COLUMNS))
    print(format_row("---" for _ in bench.COLUMNS))
    for row in rows:
        print(format_row(row[name] for name, _ in bench.COLUMNS))


if __name__ == "__main__":
    main()
