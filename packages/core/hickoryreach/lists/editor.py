"""Changes of the lists: checked, then carried by one compare-and-swap."""

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
    """Makes a change; a lost race is tried again where it may be won."""
    outcome = _change_once(client, edit)
    for _ in range(ATTEMPTS):
        if not _may_win(edit, outcome):
            return outcome
        outcome = _change_once(client, edit)
    return outcome


def _may_win(edit: edits.Edit, outcome: edits.Outcome) -> bool:
    """Returns whether a change lost a race, and not for its revision."""
    if isinstance(outcome, result.Success):
        return False
    failure = outcome.failure()
    return isinstance(failure, edits.Outdated) and edit.revision in (
        None,
        failure.kept.head.revision,
    )


def _change_once(client: store.Store, edit: edits.Edit) -> edits.Outcome:
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
        .bind(lambda document: _check(client, edit.name, document))
        .bind(lambda document: _write(client, edit, kept, document))
    )


def _check(
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
    """Returns the faults of a document beside the other list in force."""
    members = {name: document, OTHER_LIST[name]: other}
    plans_set = name == "plans" or other != plans.Plans()
    return checks.find_faults(checks.Pair(**members, plans_set=plans_set))


def parse(name: str, body: bytes) -> result.Result[plans.Model, edits.Refused]:
    """Returns the document in a body, or what to correct in it."""
    try:
        return result.Success(documents.MODELS[name].model_validate_json(body))
    except pydantic.ValidationError as error:
        faults = tuple(
            f"{'.'.join(str(part) for part in row['loc'])}: {row['msg']}"
            for row in error.errors(include_input=False)
        )
        return result.Failure(edits.Refused(faults=faults))


def _write(
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
        _append(client, edit, kept, delta)
        .bind(lambda head: head_swaps.swap_head(client, edit.name, kept, head))
        .map(lambda head: edits.Accepted(head=head, flat=flat, lines=lines))
        .map(lambda accepted: _tidy(client, edit.name, kept, accepted))
    )


def _append(
    client: store.Store,
    edit: edits.Edit,
    kept: storage.StoredList,
    delta: documents.Delta,
) -> result.Result[heads.Head, edits.Failure]:
    """Returns the head with a change, rolled before where it grows long."""
    made = heads.Change(
        revision=kept.head.revision + 1,
        at_ms=int(time.time() * MS_PER_S),
        actor=edit.actor,
        action=edit.action,
        token=uuid.uuid4().hex,
        put=dict(delta.put),
        removed=delta.removed,
    )
    head = heads.append_change(kept.head, made)
    if compaction.exceeds_limit(head) and kept.head.changes:
        written = storage.write_snapshot_and_segment(
            client, edit.name, kept.head, kept.flat
        )
        if isinstance(written, result.Failure):
            return result.Failure(
                edits.Unavailable(reason=written.failure().reason)
            )
        head = heads.append_change(heads.compact_head(kept.head), made)
    if len(heads.pack(head)) > store.VALUE_LIMIT_BYTES:
        return result.Failure(
            edits.Refused(
                faults=("the change is larger than the store can hold",)
            )
        )
    return result.Success(head)


def _tidy(
    client: store.Store,
    name: str,
    kept: storage.StoredList,
    accepted: edits.Accepted,
) -> edits.Accepted:
    """Drops what an accepted change replaced, and keeps the head short."""
    head = accepted.head
    if head.base_revision != kept.head.base_revision:
        compaction.delete_snapshot(client, name, kept.head.base_revision)
    if compaction.exceeds_limit(head):
        compaction.compact_list(client, name, head, accepted.flat)
    return accepted
