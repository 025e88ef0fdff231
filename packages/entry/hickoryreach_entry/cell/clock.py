"""The clocks that an owner reads."""

import time


def now_ms() -> int:
    """Returns the steady clock in ms."""
    return int(time.monotonic() * 1000)


def wall_ms() -> int:
    """Returns the wall clock in ms since 1970."""
    return int(time.time() * 1000)
