"""Monotonic, boot and wall clocks."""

import time


def now_ms() -> int:
    """Returns the monotonic clock in ms."""
    return int(time.monotonic() * 1000)


def boot_s() -> float:
    """Returns the time since boot in s.

    Unlike the monotonic clock it counts time for which the machine was
    suspended, so that permissions age by it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Returns the wall clock in ms since the Unix epoch."""
    return int(time.time() * 1000)
