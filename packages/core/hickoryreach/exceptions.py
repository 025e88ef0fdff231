"""Exceptions that stop a process, and failures returned as values."""

import dataclasses


class HickoryreachError(Exception):
    """Base of the exceptions that this project raises."""


class NotConnectedError(HickoryreachError, ConnectionError):
    """A call that may not open a connection found none that is open."""


class MalformedFrameError(HickoryreachError, ValueError):
    """A serialized frame that doesn't hold what it states."""


class InvariantError(HickoryreachError):
    """A violated invariant of the system; the process must stop."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreFailure:
    """A call of the store without a usable answer.

    Attributes:
        reason: What went wrong, for logs.
        effect_unknown: Whether a write may have taken effect.
    """

    reason: str
    effect_unknown: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A compare-and-swap that failed because of another writer.

    Attributes:
        key: Key of the value that the other writer changed.
    """

    key: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerFailure:
    """A call of a worker without a usable answer.

    Attributes:
        reason: What went wrong, for logs.
        stale_term: Higher term that the worker reported, or 0.
    """

    reason: str
    stale_term: int = 0
