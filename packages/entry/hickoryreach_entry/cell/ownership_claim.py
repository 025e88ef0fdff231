"""Conditional write of the key that names the cell's owner."""

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach_entry.cell import records

ANSWER_TIMEOUT_S = 0.15
READ_INTERVAL_S = 0.1


def claim_ownership(
    client: store.Store, ownership: records.Ownership, revision: int
) -> result.Result[int, store.StoreFailure]:
    """Writes the owner's key if it still has the revision that was read.

    While the answer to the write is late, the key is read to find out whether
    the write has succeeded.

    Args:
        client: The store.
        ownership: The ownership to write.
        revision: Revision that the key must still have.

    Returns:
        The revision of the write, which is the fencing token, or why the key
        was not written.
    """
    data = records.encode_ownership(ownership)
    writing = gevent.spawn(
        client.write,
        puts=(store.Put(key=records.OWNER_KEY, data=data),),
        expected=((records.OWNER_KEY, revision),),
    )
    writing.join(ANSWER_TIMEOUT_S)
    while not writing.ready():
        read = client.get(records.OWNER_KEY)
        if is_written(read, data):
            return read.map(lambda item: item.revision)
        writing.join(READ_INTERVAL_S)
    written = writing.get()
    if isinstance(written, result.Failure) and written.failure().effect_unknown:
        read = client.get(records.OWNER_KEY)
        if is_written(read, data):
            return read.map(lambda item: item.revision)
    return written


def is_written(
    read: result.Result[store.Item, store.StoreFailure], data: bytes
) -> bool:
    """Returns whether a read returned the data that was to be written."""
    return isinstance(read, result.Success) and read.unwrap().data == data
