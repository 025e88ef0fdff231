"""Errors that stop a process, and typed failures that callers handle."""

import dataclasses


class HickoryreachError(Exception):
    """Base of every error raised on purpose."""


class InvariantError(HickoryreachError):
    """An invariant of the system no longer holds; the process must stop."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreFailure:
    """A store call that gave no usable answer.

    Attributes:
        reason: What went wrong, for logs.
        effect_unknown: True when a write may have taken effect.
    """

    reason: str
    effect_unknown: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A compare-and-swap that lost.

    Attributes:
        key: Key of the value that another writer changed.
    """

    key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerFailure:
    """A worker call that gave no usable answer.

    Attributes:
        reason: What went wrong, for logs.
        stale_term: The higher term the worker holds, or 0.
    """

    reason: str
    stale_term: int = 0
