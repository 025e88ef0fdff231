"""Log lines of key=value pairs, in bounded number."""

import collections
import logging
import sys

import gevent
from gevent import event as gevent_event
import logfmter

from hickoryreach_entry.cell import metrics

FORMAT_KEYS = ["at", "level", "logger"]
FORMAT_MAPPING = {
    "at": "asctime",
    "level": "levelname",
    "logger": "name",
}
LINES_LIMIT = 5_000
LINES_AT_ONCE = 20
PAUSE_S = 0.02


class BoundedHandler(logging.Handler):
    """Writes lines from a greenlet; drops them when too many wait.

    Attributes:
        lines: Lines that wait to be written.
    """

    def __init__(self, *, stream) -> None:
        """Begins to write to a stream."""
        super().__init__()
        self.stream = stream
        self.lines: collections.deque[str] = collections.deque()
        self.waiting = gevent_event.Event()
        self.greenlet = gevent.spawn(self.write_forever)

    def emit(self, record: logging.LogRecord) -> None:
        """Adds a line; never waits."""
        if len(self.lines) >= LINES_LIMIT:
            metrics.log_lines_dropped.inc()
            return
        self.lines.append(self.format(record))
        self.waiting.set()

    def flush(self) -> None:
        """Writes every line that waits."""
        while self.lines:
            count = min(len(self.lines), LINES_AT_ONCE)
            lines = [self.lines.popleft() for _ in range(count)]
            self.stream.write("\n".join(lines) + "\n")
            self.stream.flush()

    def write_forever(self) -> None:
        """Writes what waits, many lines at once."""
        while True:
            self.waiting.wait()
            self.waiting.clear()
            self.flush()
            gevent.sleep(PAUSE_S)


def set_up(level: str) -> None:
    """Writes one key=value line per event to standard output."""
    handler = BoundedHandler(stream=sys.stdout)
    handler.setFormatter(
        logfmter.Logfmter(keys=FORMAT_KEYS, mapping=FORMAT_MAPPING)
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
