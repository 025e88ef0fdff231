"""Changes of the lists: checked, then carried by one compare-and-swap."""

from collections.abc import Callable
import dataclasses
import time
import uuid

import gevent
import pydantic
from returns import result

from hickoryreach import exceptions
from hickoryreach.lists import checks
from hickoryreach.lists import documents
from hickoryreach.lists import heads
from hickoryreach.lists import plans
from hickoryreach.lists import storage
from hickoryreach.platform import store

ATTEMPTS = 5
RETRY_S = 0.2
OTHERS = {"plans": "allowances", "allowances": "plans"}


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

    kept: storage.Kept


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
    flat: documents.Flat
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
        floor: Revision in force here; a lower one in the store is refused.
    """

    name: str
    actor: str
    action: str
    revision: int | None
    build: Callable[[plans.Model], result.Result[plans.Model, Refused]]
    floor: int = 0


Failure = Refused | Outdated | Unavailable
Outcome = result.Result[Accepted, Failure]


def change(client: store.Store, edit: Edit) -> Outcome:
    """Makes a change; a race that needs no revision is tried again."""
    outcome = _change_once(client, edit)
    for _ in range(ATTEMPTS):
        lost = isinstance(outcome, result.Failure) and isinstance(
            outcome.failure(), Outdated
        )
        if not lost or edit.revision is not None:
            return outcome
        outcome = _change_once(client, edit)
    return outcome


def _change_once(client: store.Store, edit: Edit) -> Outcome:
    read = read_settled(client, edit.name)
    if isinstance(read, result.Failure):
        return result.Failure(Unavailable(reason=read.failure().reason))
    kept = read.unwrap()
    if kept.head.revision < edit.floor:
        return result.Failure(
            Unavailable(
                reason=f"the store holds revision {kept.head.revision}, "
                f"older than {edit.floor} in force"
            )
        )
    if edit.revision not in (None, kept.head.revision):
        return result.Failure(Outdated(kept=kept))
    return (
        edit.build(documents.unflatten(edit.name, kept.flat))
        .bind(lambda document: _check(client, edit.name, document))
        .bind(lambda document: _write(client, edit, kept, document))
    )


def read_settled(
    client: store.Store, name: str
) -> result.Result[storage.Kept, exceptions.StoreFailure]:
    """Reads a list, again where a roll took its snapshot meanwhile."""
    read = storage.read_list(client, name)
    if isinstance(read, result.Failure):
        read = storage.read_list(client, name)
    return read


def _check(
    client: store.Store, name: str, document: plans.Model
) -> result.Result[plans.Model, Failure]:
    other = OTHERS[name]
    read = read_settled(client, other)
    if isinstance(read, result.Failure):
        return result.Failure(Unavailable(reason=read.failure().reason))
    kept = read.unwrap()
    faults = find_faults(name, document, documents.unflatten(other, kept.flat))
    if faults:
        return result.Failure(Refused(faults=tuple(faults)))
    return result.Success(document)


def find_faults(
    name: str, document: plans.Model, other: plans.Model
) -> list[str]:
    """Returns the faults of a document beside the other list in force."""
    members = {name: document, OTHERS[name]: other}
    plans_set = name == "plans" or other != plans.Plans()
    return checks.find_faults(checks.Pair(**members, plans_set=plans_set))


def parse(name: str, body: bytes) -> result.Result[plans.Model, Refused]:
    """Returns the document in a body, or what to correct in it."""
    try:
        return result.Success(documents.MODELS[name].model_validate_json(body))
    except pydantic.ValidationError as error:
        faults = tuple(
            f"{'.'.join(str(part) for part in row['loc'])}: {row['msg']}"
            for row in error.errors(include_input=False)
        )
        return result.Failure(Refused(faults=faults))


def _write(
    client: store.Store, edit: Edit, kept: storage.Kept, document: plans.Model
) -> Outcome:
    flat = documents.flatten(document)
    delta = documents.compare(kept.flat, flat)
    lines = tuple(documents.describe(kept.flat, delta))
    if delta.is_empty:
        return result.Success(Accepted(head=kept.head, flat=flat, lines=()))
    made = heads.Change(
        revision=kept.head.revision + 1,
        at_ms=int(time.time() * 1000),
        actor=edit.actor,
        action=edit.action,
        token=uuid.uuid4().hex,
        put=dict(delta.put),
        removed=delta.removed,
    )
    head = heads.append(kept.head, made)
    rolled = _is_long(head) and bool(kept.head.changes)
    if rolled:
        written = storage.write_roll(client, edit.name, kept.head, kept.flat)
        if isinstance(written, result.Failure):
            return result.Failure(Unavailable(reason=written.failure().reason))
        head = heads.append(heads.roll(kept.head), made)
    if len(heads.pack(head)) > store.VALUE_LIMIT_BYTES:
        return result.Failure(
            Refused(faults=("the change is larger than the store can hold",))
        )
    outcome = _swap(client, edit.name, kept, head).map(
        lambda _: Accepted(head=head, flat=flat, lines=lines)
    )
    if isinstance(outcome, result.Success):
        if rolled:
            drop_snapshot(client, edit.name, kept.head.base_revision)
        if _is_long(head):
            compact(client, edit.name, head, flat)
    return outcome


def _is_long(head: heads.Head) -> bool:
    return len(heads.pack(head)) > heads.HEAD_LIMIT_BYTES


def compact(
    client: store.Store, name: str, head: heads.Head, flat: documents.Flat
) -> None:
    """Rolls an accepted head that every follower would read again and again.

    Where it fails, the next change does the same.
    """
    written = storage.write_roll(client, name, head, flat)
    read = storage.read_head(client, name)
    if isinstance(written, result.Failure) or isinstance(read, result.Failure):
        return
    newest, index = read.unwrap()
    if newest != head:
        return
    rolled = heads.pack(heads.roll(head))
    swapped = client.put_if(heads.get_head_key(name), rolled, index=index)
    if isinstance(swapped, result.Success):
        drop_snapshot(client, name, head.base_revision)


def drop_snapshot(client: store.Store, name: str, revision: int) -> None:
    """Deletes a snapshot that no head refers to any more."""
    if revision:
        client.delete([heads.get_snapshot_key(name, revision)])


def _swap(
    client: store.Store, name: str, kept: storage.Kept, head: heads.Head
) -> result.Result[None, Failure]:
    """Swaps the head; a lost answer is settled by the change's token."""
    reason = ""
    for _ in range(ATTEMPTS):
        written = client.put_if(
            heads.get_head_key(name), heads.pack(head), index=kept.index
        )
        if isinstance(written, result.Success):
            return result.Success(None)
        if isinstance(written.failure(), exceptions.Conflict):
            return _settle(client, name, kept, head)
        reason = written.failure().reason
        gevent.sleep(RETRY_S)
    return result.Failure(
        Unavailable(reason=reason, token=head.token, index=kept.index)
    )


def _settle(
    client: store.Store, name: str, kept: storage.Kept, head: heads.Head
) -> result.Result[None, Failure]:
    """Tells a lost race from one's own write whose answer was lost."""
    reason = ""
    for _ in range(ATTEMPTS):
        read = read_settled(client, name)
        if isinstance(read, result.Failure):
            reason = read.failure().reason
            gevent.sleep(RETRY_S)
            continue
        newest = read.unwrap()
        found = find_change(client, name, newest.head, head.revision)
        if isinstance(found, result.Failure):
            reason = found.failure().reason
            continue
        if found.unwrap() and found.unwrap().token == head.token:
            return result.Success(None)
        return result.Failure(Outdated(kept=newest))
    return result.Failure(
        Unavailable(reason=reason, token=head.token, index=kept.index)
    )


def find_change(
    client: store.Store, name: str, head: heads.Head, revision: int
) -> result.Result[heads.Change | None, exceptions.StoreFailure]:
    """Returns the change that led to a revision, from head or segments."""
    changes = head.changes
    base = head.base_revision
    while revision <= base:
        read = storage.read_segment(client, name, base)
        if isinstance(read, result.Failure):
            return result.Failure(read.failure())
        segment = read.unwrap()
        if segment is None:
            return result.Success(None)
        changes = segment.changes
        base = segment.base_revision
    found = [row for row in changes if row.revision == revision]
    return result.Success(found[0] if found else None)


def repair(
    client: store.Store,
    name: str,
    head: heads.Head,
    flat: documents.Flat,
    index: int,
) -> result.Result[int, storage.Failure]:
    """Writes the list in force back over an older one.

    Args:
        client: The store.
        name: The list.
        head: Head in force.
        flat: Document in force.
        index: Index of the older head, which is replaced.
    """
    return storage.write_roll(client, name, head, flat).bind(
        lambda _: client.put_if(
            heads.get_head_key(name),
            heads.pack(heads.roll(head)),
            index=index,
        )
    )
