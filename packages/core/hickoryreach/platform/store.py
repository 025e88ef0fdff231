"""Client of the platform's metadata store."""

import base64
import binascii
import dataclasses
import urllib.parse

from returns import result

from hickoryreach.platform import http

CALL_TIMEOUT_S = 0.8
WATCH_MARGIN_S = 0.6
TRANSACTION_LIMIT = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """One key of the store.

    Attributes:
        key: The key.
        data: Its value; None when the key was removed.
        revision: Revision of its last change; 0 when it does not exist.
    """

    key: str
    data: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Items under a prefix.

    Attributes:
        items: The items by key.
        revision: Revision of the store when the first page was read.
    """

    items: tuple[Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Put:
    """A key to write.

    Attributes:
        key: The key.
        data: Its new value.
    """

    key: str
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreFailure:
    """A call that the store did not carry out, as far as is known.

    Attributes:
        reason: What went wrong, for logs.
        effect_unknown: Whether a write may have taken effect, or still may.
        history_gone: Whether a watch asked for history that was discarded.
        conflict: Present state of the keys whose condition did not hold.
    """

    reason: str
    effect_unknown: bool = False
    history_gone: bool = False
    conflict: tuple[Item, ...] | None = None


class Store:
    """Calls to the store; each is counted by the platform.

    Attributes:
        address: `host:port` of the store.
        health: Whether the store serves this machine.
    """

    def __init__(self, *, address: str, connections: int = 24) -> None:
        """Creates a client; opens no connection yet."""
        self.address = address
        self.health = http.Health()
        self.quick = http.Client(
            address=address,
            kind="store",
            timeout_s=CALL_TIMEOUT_S,
            connections=connections,
            health=self.health,
        )
        self.watchers: dict[float, http.Client] = {}

    def get(self, key: str) -> result.Result[Item, StoreFailure]:
        """Reads one key; an absent one has the revision 0."""
        query = urllib.parse.urlencode({"key": key})
        return (
            self.quick.call("GET", f"/kv-key?{query}")
            .lash(_fail)
            .bind(lambda answer: _parse_item_answer(key, answer))
        )

    def get_prefix(self, prefix: str) -> result.Result[Page, StoreFailure]:
        """Reads all keys under a prefix, page by page."""
        items: list[Item] = []
        after = ""
        revision = 0
        while True:
            read = self._get_page(prefix, after)
            if isinstance(read, result.Failure):
                return read
            page, more = read.unwrap()
            items.extend(page.items)
            revision = revision or page.revision
            if not more or not page.items:
                return result.Success(
                    Page(items=tuple(items), revision=revision)
                )
            after = page.items[-1].key

    def _get_page(
        self, prefix: str, after: str
    ) -> result.Result[tuple[Page, bool], StoreFailure]:
        words = {"prefix": prefix}
        if after:
            words["after"] = after
        query = urllib.parse.urlencode(words)
        return (
            self.quick.call("GET", f"/kv-range?{query}")
            .lash(_fail)
            .bind(_parse_page)
        )

    def watch(
        self, prefix: str, *, revision: int, wait_s: float
    ) -> result.Result[Page, StoreFailure]:
        """Waits for changes after a revision.

        Returns:
            The changed items and the revision to continue from; no items
            when `wait_s` passed without a change.
        """
        client = self.watchers.get(wait_s)
        if client is None:
            client = http.Client(
                address=self.address,
                kind="store_watch",
                timeout_s=wait_s + WATCH_MARGIN_S,
                connections=8,
                health=self.health,
            )
            self.watchers[wait_s] = client
        query = urllib.parse.urlencode(
            {
                "prefix": prefix,
                "after": revision,
                "waitMs": int(wait_s * 1000),
            }
        )
        return (
            client.call("GET", f"/kv-watch?{query}")
            .lash(_fail)
            .bind(_parse_events)
        )

    def write(
        self,
        *,
        puts: tuple[Put, ...] = (),
        removed: tuple[str, ...] = (),
        expected: tuple[tuple[str, int], ...] = (),
    ) -> result.Result[int, StoreFailure]:
        """Writes all or nothing if each expected revision still holds.

        Args:
            puts: Keys to write.
            removed: Keys to remove.
            expected: Keys with the revision that they must have; 0 for a
                key that must not exist.

        Returns:
            The revision of the write.
        """
        body = {
            "expectedRev": [
                {"key": key, "revision": revision} for key, revision in expected
            ],
            "puts": [_build_put(put) for put in puts],
            "remove": list(removed),
        }
        return (
            self.quick.call("POST", "/kv-txn", body)
            .lash(_fail)
            .bind(_parse_write)
        )


def _build_put(put: Put) -> dict:
    return {"key": put.key, "value": base64.b64encode(put.data).decode()}


def _fail(failure: http.CallFailure) -> result.Result:
    return result.Failure(
        StoreFailure(
            reason=failure.reason, effect_unknown=failure.effect_unknown
        )
    )


def _refuse(answer: http.Answer) -> result.Result:
    return result.Failure(
        StoreFailure(
            reason=f"status {answer.status}",
            history_gone=answer.status == http.GONE,
        )
    )


def _malformed(error: Exception) -> result.Result:
    return result.Failure(
        StoreFailure(
            reason=f"malformed answer: {type(error).__name__}: {error}",
            effect_unknown=True,
        )
    )


def _parse_item(row: dict) -> Item:
    if row.get("tombstone"):
        return Item(key=row["key"], data=None, revision=row["revision"])
    if not row.get("revision"):
        return Item(key=row["key"], data=None, revision=0)
    return Item(
        key=row["key"],
        data=base64.b64decode(row.get("value") or ""),
        revision=row["revision"],
    )


def _parse_item_answer(
    key: str, answer: http.Answer
) -> result.Result[Item, StoreFailure]:
    if answer.status == http.NOT_FOUND:
        return result.Success(Item(key=key, data=None, revision=0))
    if answer.status != http.OK:
        return _refuse(answer)
    try:
        return result.Success(_parse_item(answer.body))
    except (KeyError, TypeError, AttributeError, binascii.Error) as error:
        return _malformed(error)


def _parse_page(
    answer: http.Answer,
) -> result.Result[tuple[Page, bool], StoreFailure]:
    if answer.status != http.OK:
        return _refuse(answer)
    try:
        items = tuple(_parse_item(row) for row in answer.body["items"])
        page = Page(items=items, revision=answer.body["storeRevision"])
        return result.Success((page, bool(answer.body.get("hasMore"))))
    except (KeyError, TypeError, AttributeError, binascii.Error) as error:
        return _malformed(error)


def _parse_events(
    answer: http.Answer,
) -> result.Result[Page, StoreFailure]:
    if answer.status != http.OK:
        return _refuse(answer)
    try:
        items = tuple(_parse_item(row) for row in answer.body["events"])
        return result.Success(
            Page(items=items, revision=answer.body["storeRevision"])
        )
    except (KeyError, TypeError, AttributeError, binascii.Error) as error:
        return _malformed(error)


def _parse_write(answer: http.Answer) -> result.Result[int, StoreFailure]:
    if answer.status == http.PRECONDITION_FAILED:
        return _parse_conflict(answer)
    if answer.status != http.OK:
        return _refuse(answer)
    try:
        return result.Success(int(answer.body["revision"]))
    except (KeyError, TypeError, ValueError) as error:
        return _malformed(error)


def _parse_conflict(answer: http.Answer) -> result.Result[int, StoreFailure]:
    try:
        items = tuple(_parse_item(row) for row in answer.body["items"])
    except (KeyError, TypeError, AttributeError, binascii.Error) as error:
        return _malformed(error)
    return result.Failure(StoreFailure(reason="conflict", conflict=items))
