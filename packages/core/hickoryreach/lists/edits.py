"""Requested changes of the lists, and their outcomes."""

from collections.abc import Callable
import dataclasses

from returns import result

from hickoryreach.lists import documents
from hickoryreach.lists import heads
from hickoryreach.lists import plans
from hickoryreach.lists import storage


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """A change that is invalid and was not made.

    Attributes:
        faults: What to correct, one line for each fault.
    """

    faults: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outdated:
    """A change made on a revision that is no longer the newest.

    Attributes:
        kept: The list as it is stored now.
    """

    kept: storage.StoredList


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """A change that failed because the store gave no usable response.

    Attributes:
        reason: What went wrong.
        token: Token to look for in the audit trail if the change may have been
            accepted; empty if it was not.
        index: Store index of the head that the change was to replace.
    """

    reason: str
    token: str = ""
    index: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """A change that was accepted, or that left the document as it was.

    Attributes:
        head: The head after the change.
        flat: The document after the change.
        lines: The diff, one readable line for each path.
    """

    head: heads.Head
    flat: documents.FlatDocument
    lines: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Edit:
    """A requested change.

    Attributes:
        name: Name of the list.
        actor: Operator who makes it.
        action: set, grant or withdraw.
        revision: Revision that it was made on; None for the newest.
        build: Returns the new document for the newest one, or the faults that
            prevent the change.
        min_revision: Revision in force in this entry. The change is refused
            if the store has a lower one.
    """

    name: str
    actor: str
    action: str
    revision: int | None
    build: Callable[[plans.Model], result.Result[plans.Model, Refused]]
    min_revision: int = 0


Failure = Refused | Outdated | Unavailable
Outcome = result.Result[Accepted, Failure]
