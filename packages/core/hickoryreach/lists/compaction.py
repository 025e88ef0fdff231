"""Compaction of list heads into snapshots and audit segments."""

from returns import result

from hickoryreach.lists import documents
from hickoryreach.lists import heads
from hickoryreach.lists import storage
from hickoryreach.trial import store


def exceeds_limit(head: heads.Head) -> bool:
    """Returns whether a head is larger than HEAD_LIMIT_BYTES."""
    return len(heads.pack(head)) > heads.HEAD_LIMIT_BYTES


def compact_list(
    client: store.Store,
    name: str,
    head: heads.Head,
    flat: documents.FlatDocument,
) -> None:
    """Compacts an accepted head in the store.

    Every entry reads the whole head at each change, so it has to stay small.
    A failure is ignored, since the next change attempts the compaction again.

    Args:
        client: The store.
        name: Name of the list.
        head: The accepted head.
        flat: The document at its revision.
    """
    written = storage.write_snapshot_and_segment(client, name, head, flat)
    read = storage.read_head(client, name)
    if isinstance(written, result.Failure) or isinstance(read, result.Failure):
        return
    newest, index = read.unwrap()
    if newest != head:
        return
    compacted = heads.pack(heads.compact_head(head))
    swapped = client.put_if(heads.get_head_key(name), compacted, index=index)
    if isinstance(swapped, result.Success):
        delete_snapshot(client, name, head.base_revision)


def delete_snapshot(client: store.Store, name: str, revision: int) -> None:
    """Deletes a snapshot to which no head refers any more."""
    if revision:
        client.delete([heads.get_snapshot_key(name, revision)])


def overwrite_older_list(
    client: store.Store,
    name: str,
    head: heads.Head,
    flat: documents.FlatDocument,
    index: int,
) -> result.Result[int, storage.Failure]:
    """Writes the list in force over an older version in the store.

    Args:
        client: The store.
        name: Name of the list.
        head: Head in force.
        flat: Document in force.
        index: Store index of the older head, which is replaced.

    Returns:
        The new index of the head, or why it was not written.
    """
    return storage.write_snapshot_and_segment(client, name, head, flat).bind(
        lambda _: client.put_if(
            heads.get_head_key(name),
            heads.pack(heads.compact_head(head)),
            index=index,
        )
    )
