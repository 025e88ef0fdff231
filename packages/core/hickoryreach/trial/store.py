"""Client of the platform's key-value store.

The store is met through the HTTP interface that Consul publishes for its
key-value store, transactions, sessions and blocking queries. Every public
call is one request, which the platform counts against our rate.
"""

import base64
import dataclasses
import http.client
import logging
import urllib.parse

import gevent
import geventhttpclient
import orjson
import prometheus_client
from returns import result

from hickoryreach import exceptions

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 2.0
VALUE_LIMIT_BYTES = 1_000_000
TRANSACTION_LIMIT = 64
OK = 200
NOT_FOUND = 404
CONFLICT = 409

calls = prometheus_client.Counter(
    "hickoryreach_store_calls",
    "Calls to the platform's store",
    ["kind", "result"],
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Value:
    """One value as read.

    Attributes:
        key: Its key.
        data: Its bytes, at most VALUE_LIMIT_BYTES.
        index: Modification index, for compare-and-swap.
        lease: Lease it is bound to, or empty.
    """

    key: str
    data: bytes
    index: int
    lease: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """Values under a key or prefix at one index.

    Attributes:
        values: The values, ordered by key.
        index: Index to pass to the next watch.
    """

    values: tuple[Value, ...]
    index: int


Read = result.Result[Snapshot, exceptions.StoreFailure]
Write = result.Result[int, exceptions.Conflict | exceptions.StoreFailure]


class Store:
    """Calls to the store over pooled connections.

    Attributes:
        url: Base URL of the store.
        timeout_s: Longest a call that is not a watch may take.
    """

    def __init__(
        self, *, url: str, timeout_s: float = CALL_TIMEOUT_S, pool: int = 32
    ) -> None:
        """Creates a client; opens no connection yet."""
        parts = urllib.parse.urlsplit(url)
        self.url = url
        self.timeout_s = timeout_s
        self.http = geventhttpclient.HTTPClient(
            parts.hostname,
            port=parts.port,
            concurrency=pool,
            connection_timeout=timeout_s,
            network_timeout=3600.0,
        )

    def get(self, key: str) -> Read:
        """Reads one key; an absent key gives no values."""
        return self._read("get", f"/v1/kv/{key}", self.timeout_s)

    def get_prefix(self, prefix: str, *, timeout_s: float = 0.0) -> Read:
        """Reads every key below a prefix, within `timeout_s` if it is given."""
        return self._read(
            "get",
            f"/v1/kv/{prefix}?recurse=true",
            timeout_s or self.timeout_s,
        )

    def watch(
        self, key: str, *, index: int, wait_s: float, recurse: bool = False
    ) -> Read:
        """Waits until a key or prefix passes `index`, or `wait_s` is over."""
        query = f"?index={index}&wait={int(wait_s * 1000)}ms"
        if recurse:
            query += "&recurse=true"
        return self._read(
            "watch", f"/v1/kv/{key}{query}", wait_s + WATCH_MARGIN_S
        )

    def put_if(
        self, key: str, data: bytes, *, index: int, lease: str = ""
    ) -> Write:
        """Writes a key if its index still is `index`; 0 means absent.

        Returns:
            The new index, a `Conflict`, or a `StoreFailure` whose
            `effect_unknown` tells that the write may stand.
        """
        operation = {
            "Verb": "cas",
            "Key": key,
            "Value": base64.b64encode(data).decode(),
            "Index": index,
        }
        if lease:
            operation["Session"] = lease
            operation["Verb"] = "lock"
        return self._transact("put", key, [{"KV": operation}])

    def delete(self, keys: list[str]) -> Write:
        """Deletes up to TRANSACTION_LIMIT keys in one call."""
        operations = [{"KV": {"Verb": "delete", "Key": key}} for key in keys]
        return self._transact("delete", keys[0], operations)

    def create_lease(
        self, *, ttl_s: float, name: str
    ) -> result.Result[str, exceptions.StoreFailure]:
        """Creates a lease whose keys vanish when it lapses."""
        body = {"TTL": f"{ttl_s}s", "Behavior": "delete", "Name": name}
        answer = self.call("lease", "PUT", "/v1/session/create", body)
        return answer.bind(_parse_lease)

    def renew_lease(
        self, lease: str
    ) -> result.Result[bool, exceptions.StoreFailure]:
        """Renews a lease; False when it has lapsed."""
        answer = self.call("lease", "PUT", f"/v1/session/renew/{lease}", None)
        return answer.bind(_parse_renewal)

    def drop_lease(
        self, lease: str
    ) -> result.Result[bool, exceptions.StoreFailure]:
        """Ends a lease and deletes its keys."""
        answer = self.call("lease", "PUT", f"/v1/session/destroy/{lease}", None)
        return answer.map(lambda reply: reply.status == 200)

    def _read(self, kind: str, path: str, timeout_s: float) -> Read:
        answer = self.call(kind, "GET", path, None, timeout_s)
        return answer.bind(_parse_values)

    def _transact(self, kind: str, key: str, operations: list) -> Write:
        answer = self.call(kind, "PUT", "/v1/txn", operations)
        return answer.bind(lambda reply: _parse_write(key, reply))

    def call(
        self,
        kind: str,
        method: str,
        path: str,
        body: object,
        timeout_s: float | None = None,
    ) -> result.Result["Reply", exceptions.StoreFailure]:
        """Makes one call and counts it under `kind`."""
        timeout = gevent.Timeout(timeout_s or self.timeout_s)
        try:
            with timeout:
                reply = self._request(method, path, body)
        except gevent.Timeout as expired:
            if expired is not timeout:
                raise
            return self._fail(kind, "timeout")
        except (OSError, ValueError, http.client.HTTPException) as error:
            return self._fail(kind, str(error) or type(error).__name__)
        if reply.status >= 500:
            return self._fail(kind, f"status {reply.status}")
        calls.labels(kind, "ok").inc()
        return result.Success(reply)

    def _fail(
        self, kind: str, reason: str
    ) -> result.Result["Reply", exceptions.StoreFailure]:
        calls.labels(kind, "failed").inc()
        return result.Failure(
            exceptions.StoreFailure(reason=reason, effect_unknown=True)
        )

    def _request(self, method: str, path: str, body: object) -> "Reply":
        payload = b"" if body is None else orjson.dumps(body)
        response = self.http.request(method, path, body=payload)
        data = response.read()
        return Reply(
            status=response.status_code,
            body=bytes(data),
            index=int(response.get("x-consul-index") or 0),
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """One HTTP answer, read whole.

    Attributes:
        status: HTTP status.
        body: Body.
        index: Value of the X-Consul-Index header, or 0.
    """

    status: int
    body: bytes
    index: int


def _fail_reply(reply: Reply) -> result.Failure[exceptions.StoreFailure]:
    return result.Failure(
        exceptions.StoreFailure(reason=f"status {reply.status}")
    )


def _parse_values(reply: Reply) -> Read:
    if reply.status == NOT_FOUND:
        return result.Success(Snapshot(values=(), index=reply.index))
    if reply.status != OK:
        return _fail_reply(reply)
    try:
        values = tuple(
            Value(
                key=row["Key"],
                data=base64.b64decode(row["Value"] or ""),
                index=row["ModifyIndex"],
                lease=row.get("Session", ""),
            )
            for row in orjson.loads(reply.body)
        )
    except (ValueError, KeyError, TypeError) as error:
        return _fail_malformed(error)
    return result.Success(Snapshot(values=values, index=reply.index))


def _fail_malformed(
    error: Exception,
) -> result.Failure[exceptions.StoreFailure]:
    return result.Failure(
        exceptions.StoreFailure(
            reason=f"malformed answer: {error}", effect_unknown=True
        )
    )


def _parse_lease(
    reply: Reply,
) -> result.Result[str, exceptions.StoreFailure]:
    if reply.status != OK:
        return _fail_reply(reply)
    try:
        return result.Success(str(orjson.loads(reply.body)["ID"]))
    except (ValueError, KeyError, TypeError) as error:
        return _fail_malformed(error)


def _parse_renewal(
    reply: Reply,
) -> result.Result[bool, exceptions.StoreFailure]:
    if reply.status not in (OK, NOT_FOUND):
        return _fail_reply(reply)
    return result.Success(reply.status == OK)


def _parse_write(key: str, reply: Reply) -> Write:
    if reply.status == CONFLICT:
        return result.Failure(exceptions.Conflict(key=key))
    if reply.status != OK:
        return _fail_reply(reply)
    try:
        rows = orjson.loads(reply.body)["Results"] or []
        return result.Success(rows[0]["KV"]["ModifyIndex"] if rows else 0)
    except (ValueError, KeyError, TypeError) as error:
        return _fail_malformed(error)
