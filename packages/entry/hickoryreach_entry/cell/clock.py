"""Monotonic and wall clocks in milliseconds."""

import time


def now_ms() -> int:
    """Returns the monotonic clock in ms."""
    return int(time.monotonic() * 1000)


def wall_ms() -> int:
    """Returns the wall clock in ms since the Unix epoch."""
    return int(time.time() * 1000)
