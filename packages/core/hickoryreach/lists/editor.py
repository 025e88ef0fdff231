"""Changes of the lists: validated, then stored by one compare-and-swap."""

import time
import uuid

import pydantic
from returns import result

from hickoryreach.lists import checks
from hickoryreach.lists import compaction
from hickoryreach.lists import documents
from hickoryreach.lists import edits
from hickoryreach.lists import head_swaps
from hickoryreach.lists import heads
from hickoryreach.lists import plans
from hickoryreach.lists import storage
from hickoryreach.trial import store

ATTEMPTS = 5
MS_PER_S = 1000
OTHER_LIST = {"plans": "allowances", "allowances": "plans"}


def apply_edit(client: store.Store, edit: edits.Edit) -> edits.Outcome:
    """Validates and stores a change.

    A change that lost a race against another is made again on the newer list,
    unless it was made on a certain revision that is no longer the newest.

    Args:
        client: The store.
        edit: The change.
    """
    outcome = _apply_once(client, edit)
    for _ in range(ATTEMPTS):
        if not _is_retryable(edit, outcome):
            return outcome
        outcome = _apply_once(client, edit)
    return outcome


def _is_retryable(edit: edits.Edit, outcome: edits.Outcome) -> bool:
    """Returns whether a change lost a race and may be made once more."""
    if isinstance(outcome, result.Success):
        return False
    failure = outcome.failure()
    return isinstance(failure, edits.Outdated) and edit.revision in (
        None,
        failure.kept.head.revision,
    )


def _apply_once(client: store.Store, edit: edits.Edit) -> edits.Outcome:
    read = storage.read_list_with_retry(client, edit.name)
    if isinstance(read, result.Failure):
        return result.Failure(edits.Unavailable(reason=read.failure().reason))
    kept = read.unwrap()
    if kept.head.revision < edit.min_revision:
        return result.Failure(
            edits.Unavailable(
                reason=f"the store holds revision {kept.head.revision}, "
                f"older than {edit.min_revision} in force"
            )
        )
    if edit.revision not in (None, kept.head.revision):
        return result.Failure(edits.Outdated(kept=kept))
    return (
        edit.build(documents.unflatten(edit.name, kept.flat))
        .bind(lambda document: _validate(client, edit.name, document))
        .bind(lambda document: _save(client, edit, kept, document))
    )


def _validate(
    client: store.Store, name: str, document: plans.Model
) -> result.Result[plans.Model, edits.Failure]:
    other = OTHER_LIST[name]
    read = storage.read_list_with_retry(client, other)
    if isinstance(read, result.Failure):
        return result.Failure(edits.Unavailable(reason=read.failure().reason))
    kept = read.unwrap()
    faults = find_faults(name, document, documents.unflatten(other, kept.flat))
    if faults:
        return result.Failure(edits.Refused(faults=tuple(faults)))
    return result.Success(document)


def find_faults(
    name: str, document: plans.Model, other: plans.Model
) -> list[str]:
    """Returns the faults of a document combined with the other list.

    Args:
        name: Name of the list.
        document: Its new document.
        other: Document in force of the other list.
    """
    members = {name: document, OTHER_LIST[name]: other}
    plans_set = name == "plans" or other != plans.Plans()
    return checks.find_faults(checks.Pair(**members, plans_set=plans_set))


def parse(name: str, body: bytes) -> result.Result[plans.Model, edits.Refused]:
    """Returns the document in a request body, or its faults."""
    try:
        return result.Success(documents.MODELS[name].model_validate_json(body))
    except pydantic.ValidationError as error:
        faults = tuple(
            f"{'.'.join(str(part) for part in row['loc'])}: {row['msg']}"
            for row in error.errors(include_input=False)
        )
        return result.Failure(edits.Refused(faults=faults))


def _save(
    client: store.Store,
    edit: edits.Edit,
    kept: storage.StoredList,
    document: plans.Model,
) -> edits.Outcome:
    flat = documents.flatten(document)
    delta = documents.compute_delta(kept.flat, flat)
    if delta.is_empty:
        return result.Success(
            edits.Accepted(head=kept.head, flat=flat, lines=())
        )
    lines = tuple(documents.describe_delta(kept.flat, delta))
    return (
        _build_head(client, edit, kept, delta)
        .bind(lambda head: head_swaps.swap_head(client, edit.name, kept, head))
        .map(lambda head: edits.Accepted(head=head, flat=flat, lines=lines))
        .map(lambda accepted: _clean_up(client, edit.name, kept, accepted))
    )


def _build_head(
    client: store.Store,
    edit: edits.Edit,
    kept: storage.StoredList,
    delta: documents.Delta,
) -> result.Result[heads.Head, edits.Failure]:
    """Returns the head with a change appended.

    If that makes the head too large, its older changes are first moved to a
    segment and a snapshot.
    """
    change = heads.Change(
        revision=kept.head.revision + 1,
        at_ms=int(time.time() * MS_PER_S),
        actor=edit.actor,
        action=edit.action,
        token=uuid.uuid4().hex,
        put=dict(delta.put),
        removed=delta.removed,
    )
    head = heads.append_change(kept.head, change)
    if compaction.exceeds_limit(head) and kept.head.changes:
        written = storage.write_snapshot_and_segment(
            client, edit.name, kept.head, kept.flat
        )
        if isinstance(written, result.Failure):
            return result.Failure(
                edits.Unavailable(reason=written.failure().reason)
            )
        head = heads.append_change(heads.compact_head(kept.head), change)
    if len(heads.pack(head)) > store.VALUE_LIMIT_BYTES:
        return result.Failure(
            edits.Refused(
                faults=("the change is larger than the store can hold",)
            )
        )
    return result.Success(head)


def _clean_up(
    client: store.Store,
    name: str,
    kept: storage.StoredList,
    accepted: edits.Accepted,
) -> edits.Accepted:
    """Deletes a replaced snapshot, and compacts the head if it is too large."""
    head = accepted.head
    if head.base_revision != kept.head.base_revision:
        compaction.delete_snapshot(client, name, kept.head.base_revision)
    if compaction.exceeds_limit(head):
        compaction.compact_list(client, name, head, accepted.flat)
    return accepted
