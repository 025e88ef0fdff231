"""The monotonic clock that an owner decides by."""

import time

MILLISECONDS = 1000


def now_ms() -> int:
    """Returns the monotonic time in ms."""
    return int(time.monotonic() * MILLISECONDS)
