"""Reads of the store at a takeover, repeated until they work."""

import logging

import gevent
from returns import result

from hickoryreach.platform import store

log = logging.getLogger(__name__)

RETRY_S = 0.1


def read_prefix(client: store.Store, prefix: str) -> store.Page:
    """Reads all keys under a prefix, retrying until it works."""
    while True:
        read = client.get_prefix(prefix)
        if isinstance(read, result.Success):
            return read.unwrap()
        _wait(prefix, read.failure())


def read_key(client: store.Store, key: str) -> store.Item:
    """Reads one key, retrying until it works."""
    while True:
        read = client.get(key)
        if isinstance(read, result.Success):
            return read.unwrap()
        _wait(key, read.failure())


def _wait(name: str, failure: store.StoreFailure) -> None:
    """Logs a failed read, then waits before the next one."""
    log.warning(
        "takeover_read_failed", extra={"key": name, "reason": failure.reason}
    )
    gevent.sleep(RETRY_S)
