"""Client of the platform's key-value store."""

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
        data: The value; None if the key does not exist.
        revision: Revision of the last change or removal; 0 if the store
            knows no such key.
    """

    key: str
    data: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Items under a prefix, or changes to them.

    Attributes:
        items: The items.
        revision: Revision of the store as of which the items were read; for
            several pages, that of the first.
    """

    items: tuple[Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Put:
    """A key to write.

    Attributes:
        key: The key.
        data: The new value.
    """

    key: str
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreFailure:
    """A call that failed or whose outcome is unknown.

    Attributes:
        reason: What went wrong, for logs.
        effect_unknown: Whether a write may have taken effect, or still may.
        history_gone: Whether a watch asked for history that the store has
            discarded.
        conflict: Current state of the keys whose expected revision did not
            match; None if the failure is not a conflict.
    """

    reason: str
    effect_unknown: bool = False
    history_gone: bool = False
    conflict: tuple[Item, ...] | None = None


class Store:
    """Client of the store; the platform counts each call.

    Attributes:
        address: `host:port` of the store.
        health: Health of the store as seen from this process.
        call_client: Client for reads and writes.
        watch_clients: Client for watches, by their wait in s.
    """

    def __init__(self, *, address: str, connections: int = 24) -> None:
        """Creates a client without opening a connection.

        Args:
            address: `host:port` of the store.
            connections: Maximum number of concurrent reads and writes.
        """
        self.address = address
        self.connections = connections
        self.health = http.Health()
        self.call_client = self._build_call_client()
        self.watch_clients: dict[float, http.Client] = {}

    def _build_call_client(self) -> http.Client:
        return http.Client(
            address=self.address,
            kind="store",
            timeout_s=CALL_TIMEOUT_S,
            connections=self.connections,
            health=self.health,
        )

    def change_address(self, address: str) -> None:
        """Applies another address of the same store.

        Calls under way end at the earlier address; those that wait for a
        connection fail as not executed.
        """
        if address == self.address:
            return
        earlier = [self.call_client, *self.watch_clients.values()]
        self.address = address
        self.call_client = self._build_call_client()
        self.watch_clients = {}
        for client in earlier:
            client.close()

    def get(self, key: str) -> result.Result[Item, StoreFailure]:
        """Reads one key; a key that does not exist has revision 0."""
        query = urllib.parse.urlencode({"key": key})
        return (
            self.call_client.call("GET", f"/kv-key?{query}")
            .lash(_convert_failure)
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
            self.call_client.call("GET", f"/kv-range?{query}")
            .lash(_convert_failure)
            .bind(_parse_page)
        )

    def watch(
        self, prefix: str, *, revision: int, wait_s: float
    ) -> result.Result[Page, StoreFailure]:
        """Waits for changes after a revision.

        Args:
            prefix: Prefix of the keys to watch.
            revision: Revision after which changes are reported.
            wait_s: How long the store waits for a change, in s.

        Returns:
            The changed items and the revision to continue from; no items if
            `wait_s` passed without a change.
        """
        client = self.watch_clients.get(wait_s)
        if client is None:
            client = http.Client(
                address=self.address,
                kind="store_watch",
                timeout_s=wait_s + WATCH_MARGIN_S,
                connections=8,
                health=self.health,
            )
            self.watch_clients[wait_s] = client
        query = urllib.parse.urlencode(
            {
                "prefix": prefix,
                "after": revision,
                "waitMs": int(wait_s * 1000),
            }
        )
        return (
            client.call("GET", f"/kv-watch?{query}")
            .lash(_convert_failure)
            .bind(_parse_events)
        )

    def write(
        self,
        *,
        puts: tuple[Put, ...] = (),
        removed: tuple[str, ...] = (),
        expected: tuple[tuple[str, int], ...] = (),
    ) -> result.Result[int, StoreFailure]:
        """Writes and removes keys atomically if expected revisions match.

        Args:
            puts: Keys to write.
            removed: Keys to remove.
            expected: Keys and the revision that each must have; 0 for a key
                that must not exist.

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
            self.call_client.call("POST", "/kv-txn", body)
            .lash(_convert_failure)
            .bind(_parse_write)
        )


def _build_put(put: Put) -> dict:
    return {"key": put.key, "value": base64.b64encode(put.data).decode()}


def _convert_failure(failure: http.CallFailure) -> result.Result:
    return result.Failure(
        StoreFailure(
            reason=failure.reason, effect_unknown=failure.effect_unknown
        )
    )


def _build_refusal(answer: http.Answer) -> result.Result:
    return result.Failure(
        StoreFailure(
            reason=f"status {answer.status}",
            history_gone=answer.status == http.GONE,
        )
    )


def _build_malformed_failure(error: Exception) -> result.Result:
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
        return _build_refusal(answer)
    try:
        return result.Success(_parse_item(answer.body))
    except (KeyError, TypeError, AttributeError, binascii.Error) as error:
        return _build_malformed_failure(error)


def _parse_page(
    answer: http.Answer,
) -> result.Result[tuple[Page, bool], StoreFailure]:
    if answer.status != http.OK:
        return _build_refusal(answer)
    try:
        items = tuple(_parse_item(row) for row in answer.body["items"])
        page = Page(items=items, revision=answer.body["storeRevision"])
        return result.Success((page, bool(answer.body.get("hasMore"))))
    except (KeyError, TypeError, AttributeError, binascii.Error) as error:
        return _build_malformed_failure(error)


def _parse_events(
    answer: http.Answer,
) -> result.Result[Page, StoreFailure]:
    if answer.status != http.OK:
        return _build_refusal(answer)
    try:
        items = tuple(_parse_item(row) for row in answer.body["events"])
        return result.Success(
            Page(items=items, revision=answer.body["storeRevision"])
        )
    except (KeyError, TypeError, AttributeError, binascii.Error) as error:
        return _build_malformed_failure(error)


def _parse_write(answer: http.Answer) -> result.Result[int, StoreFailure]:
    if answer.status == http.PRECONDITION_FAILED:
        return _parse_conflict(answer)
    if answer.status != http.OK:
        return _build_refusal(answer)
    try:
        return result.Success(int(answer.body["revision"]))
    except (KeyError, TypeError, ValueError) as error:
        return _build_malformed_failure(error)


def _parse_conflict(
    answer: http.Answer,
) -> result.Result[int, StoreFailure]:
    try:
        items = tuple(_parse_item(row) for row in answer.body["items"])
    except (KeyError, TypeError, AttributeError, binascii.Error) as error:
        return _build_malformed_failure(error)
    return result.Failure(StoreFailure(reason="conflict", conflict=items))
