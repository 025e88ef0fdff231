"""Parts of an upper limit, ten thousand to the whole of each resource."""

import math

from hickoryreach.structure import resources

PARTS = 10_000
COMPONENTS = ("cpu_millis", "memory_mb", "accelerators", "slots")

Parts = tuple[int, int, int, int]

NO_PARTS: Parts = (0, 0, 0, 0)
ALL_PARTS: Parts = (PARTS, PARTS, PARTS, PARTS)


def take_part(limit: resources.Resources, parts: Parts) -> resources.Resources:
    """Returns the amount that parts of a limit stand for, rounded down."""
    return resources.Resources(
        **{
            name: getattr(limit, name) * part // PARTS
            for name, part in zip(COMPONENTS, parts, strict=True)
        }
    )


def count_parts(
    amount: resources.Resources, limit: resources.Resources
) -> Parts:
    """Returns the parts of a limit that cover an amount, at most all."""
    return tuple(
        min(PARTS, math.ceil(getattr(amount, name) * PARTS / whole))
        if (whole := getattr(limit, name))
        else 0
        for name in COMPONENTS
    )


def covers(
    parts: Parts, amount: resources.Resources, limit: resources.Resources
) -> bool:
    """Returns whether parts of a limit are enough for an amount."""
    needed = count_parts(amount, limit)
    return lower(parts, needed) == needed


def add(first: Parts, second: Parts) -> Parts:
    """Returns the sum by component."""
    return tuple(a + b for a, b in zip(first, second, strict=True))


def subtract(first: Parts, second: Parts) -> Parts:
    """Returns the difference by component, never below 0."""
    return tuple(max(0, a - b) for a, b in zip(first, second, strict=True))


def lower(first: Parts, second: Parts) -> Parts:
    """Returns the lesser of each component."""
    return tuple(min(a, b) for a, b in zip(first, second, strict=True))
