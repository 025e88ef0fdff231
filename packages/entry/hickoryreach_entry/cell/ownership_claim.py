"""Writes the key that names the owner."""

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach_entry.cell import records

ANSWER_SOON_S = 0.15
READ_EACH_S = 0.1


def claim(
    client: store.Store, ownership: records.Ownership, revision: int
) -> result.Result[int, store.StoreFailure]:
    """Names an owner if the key still has the revision that was read.

    While the answer is late, the key is read to learn what the write has done.

    Returns:
        The revision of the write, which is the fencing token.
    """
    data = records.encode_ownership(ownership)
    writing = gevent.spawn(
        client.write,
        puts=(store.Put(key=records.OWNER_KEY, data=data),),
        expected=((records.OWNER_KEY, revision),),
    )
    writing.join(ANSWER_SOON_S)
    while not writing.ready():
        read = client.get(records.OWNER_KEY)
        if is_named(read, data):
            return read.map(lambda item: item.revision)
        writing.join(READ_EACH_S)
    written = writing.get()
    if isinstance(written, result.Failure) and written.failure().effect_unknown:
        read = client.get(records.OWNER_KEY)
        if is_named(read, data):
            return read.map(lambda item: item.revision)
    return written


def is_named(
    read: result.Result[store.Item, store.StoreFailure], data: bytes
) -> bool:
    """Returns whether a reading found the key as it was to be written."""
    return isinstance(read, result.Success) and read.unwrap().data == data
