"""Heads rolled into snapshots and audit segments, to keep them short."""

from returns import result

from hickoryreach.lists import documents
from hickoryreach.lists import heads
from hickoryreach.lists import storage
from hickoryreach.trial import store


def exceeds_limit(head: heads.Head) -> bool:
    """Returns whether a head has outgrown its limit."""
    return len(heads.pack(head)) > heads.HEAD_LIMIT_BYTES


def compact_list(
    client: store.Store,
    name: str,
    head: heads.Head,
    flat: documents.FlatDocument,
) -> None:
    """Rolls an accepted head that every follower would read again and again.

    Where it fails, the next change does the same.
    """
    written = storage.write_snapshot_and_segment(client, name, head, flat)
    read = storage.read_head(client, name)
    if isinstance(written, result.Failure) or isinstance(read, result.Failure):
        return
    newest, index = read.unwrap()
    if newest != head:
        return
    rolled = heads.pack(heads.compact_head(head))
    swapped = client.put_if(heads.get_head_key(name), rolled, index=index)
    if isinstance(swapped, result.Success):
        delete_snapshot(client, name, head.base_revision)


def delete_snapshot(client: store.Store, name: str, revision: int) -> None:
    """Deletes a snapshot that no head refers to any more."""
    if revision:
        client.delete([heads.get_snapshot_key(name, revision)])


def overwrite_older_list(
    client: store.Store,
    name: str,
    head: heads.Head,
    flat: documents.FlatDocument,
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
    return storage.write_snapshot_and_segment(client, name, head, flat).bind(
        lambda _: client.put_if(
            heads.get_head_key(name),
            heads.pack(heads.compact_head(head)),
            index=index,
        )
    )
