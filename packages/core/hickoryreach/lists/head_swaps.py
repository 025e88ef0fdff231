"""Compare-and-swap of list heads, with recovery from lost responses."""

import gevent
from returns import result

from hickoryreach import exceptions
from hickoryreach.lists import edits
from hickoryreach.lists import heads
from hickoryreach.lists import storage
from hickoryreach.trial import store

ATTEMPTS = 5
RETRY_S = 0.2


def swap_head(
    client: store.Store, name: str, kept: storage.StoredList, head: heads.Head
) -> result.Result[heads.Head, edits.Failure]:
    """Replaces the head of a list if it has not changed since it was read.

    Where the response to an earlier attempt was lost, a conflict may stem from
    this very write. The token of the change tells the two cases apart.

    Args:
        client: The store.
        name: Name of the list.
        kept: The list that the change was made on.
        head: Head with the change.

    Returns:
        `head` if the change was accepted, or why it was not.
    """
    reason = ""
    for _ in range(ATTEMPTS):
        written = client.put_if(
            heads.get_head_key(name), heads.pack(head), index=kept.index
        )
        if isinstance(written, result.Success):
            return result.Success(head)
        if isinstance(written.failure(), exceptions.Conflict):
            return resolve_conflict(client, name, kept, head)
        reason = written.failure().reason
        gevent.sleep(RETRY_S)
    return result.Failure(build_unclear_failure(kept, head, reason))


def resolve_conflict(
    client: store.Store, name: str, kept: storage.StoredList, head: heads.Head
) -> result.Result[heads.Head, edits.Failure]:
    """Returns how a swap that met a conflict ended.

    Args:
        client: The store.
        name: Name of the list.
        kept: The list that the change was made on.
        head: Head with the change.
    """
    reason = ""
    for _ in range(ATTEMPTS):
        read = storage.read_list_with_retry(client, name).bind(
            lambda newest: find_change(
                client, name, newest.head, head.revision
            ).map(lambda found: determine_outcome(kept, head, newest, found))
        )
        if isinstance(read, result.Success):
            return read.unwrap()
        reason = read.failure().reason
        gevent.sleep(RETRY_S)
    return result.Failure(build_unclear_failure(kept, head, reason))


def determine_outcome(
    kept: storage.StoredList,
    head: heads.Head,
    newest: storage.StoredList,
    found: heads.Change | None,
) -> result.Result[heads.Head, edits.Failure]:
    """Returns how a swap ended, given the newest list in the store.

    Args:
        kept: The list that the change was made on.
        head: Head with the change.
        newest: The list as it is stored now.
        found: The stored change that produced the revision of `head`, if any.

    Returns:
        `head` if the stored change is the one in it. Outdated if another
        change took the revision, or the head was merely compacted. Otherwise
        Unavailable: the change may have been stored and lost again.
    """
    if found is not None and found.token == head.token:
        return result.Success(head)
    if found is not None or is_compacted(kept.head, newest.head):
        return result.Failure(edits.Outdated(kept=newest))
    return result.Failure(
        build_unclear_failure(
            kept,
            head,
            "the store was reset to an older state or lost an audit segment",
        )
    )


def is_compacted(before: heads.Head, after: heads.Head) -> bool:
    """Returns whether a head differs from an earlier one only by compaction."""
    return after.revision == before.revision and after != before


def build_unclear_failure(
    kept: storage.StoredList, head: heads.Head, reason: str
) -> edits.Unavailable:
    """Returns the failure for a change that may have been accepted."""
    return edits.Unavailable(reason=reason, token=head.token, index=kept.index)


def find_change(
    client: store.Store, name: str, head: heads.Head, revision: int
) -> result.Result[heads.Change | None, exceptions.StoreFailure]:
    """Returns the change that produced a revision, from head or segments.

    Args:
        client: The store.
        name: Name of the list.
        head: The newest head.
        revision: The revision.

    Returns:
        The change; None if there is none, or if a segment on the way to it is
        missing from the store.
    """
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
