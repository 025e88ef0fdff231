"""Changes that operators want, and how they end."""

from collections.abc import Callable
import dataclasses

from returns import result

from hickoryreach.lists import documents
from hickoryreach.lists import heads
from hickoryreach.lists import plans
from hickoryreach.lists import storage


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """A change that was not made.

    Attributes:
        faults: What to correct, one line each.
    """

    faults: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outdated:
    """A change made on a revision that is no longer the newest.

    Attributes:
        kept: The list as it is now.
    """

    kept: storage.StoredList


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The store gave no usable answer.

    Attributes:
        reason: What went wrong.
        token: Mark to look for in the audit trail when the change may have
            been accepted; empty when it was not.
        index: Head index that the change was to replace.
    """

    reason: str
    token: str = ""
    index: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """A change that was accepted, or that has nothing to change.

    Attributes:
        head: The head after it.
        flat: The document after it.
        lines: The difference, one readable line for each path.
    """

    head: heads.Head
    flat: documents.FlatDocument
    lines: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Edit:
    """A wanted change.

    Attributes:
        name: The list.
        actor: Who makes it.
        action: set, grant or withdraw.
        revision: Revision it was made on; None to take the newest.
        build: Returns the new document for the newest one, or the faults
            that forbid it.
        min_revision: Revision in force here; a lower one in the store is
            refused.
    """

    name: str
    actor: str
    action: str
    revision: int | None
    build: Callable[[plans.Model], result.Result[plans.Model, Refused]]
    min_revision: int = 0


Failure = Refused | Outdated | Unavailable
Outcome = result.Result[Accepted, Failure]
