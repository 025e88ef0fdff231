"""HTTP client for an entry."""

import dataclasses
import http.client
import urllib.parse

import gevent
import geventhttpclient
import orjson
from returns import result

from hickoryreach.structure import jobs
from hickoryreach_cli.config import settings as cli_settings

CONNECT_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """A complete response.

    Attributes:
        status: HTTP status.
        media: The JSON value, or None.
    """

    status: int
    media: object

    @property
    def is_problem(self) -> bool:
        """Whether the call was not executed as requested."""
        return self.status >= 400


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoReply:
    """A call without a complete response.

    Attributes:
        reason: Cause of the failure.
        ran: Whether the work, or the change, may have been executed.
    """

    reason: str
    ran: jobs.ExecutionStatus


Outcome = result.Result[Reply, NoReply]


class Client:
    """Client of one entry.

    Attributes:
        settings: Address, key and timeout.
    """

    def __init__(self, *, settings: cli_settings.Settings) -> None:
        """Creates a client; opens no connection yet."""
        self.settings = settings

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        query: dict[str, object] | None = None,
    ) -> Outcome:
        """Makes one call, and reads its complete response.

        Args:
            method: HTTP method.
            path: Path below the base URL.
            body: JSON value, or None for no body.
            query: Query parameters; those that are None or empty are omitted.
        """
        try:
            target = add_query(path, query or {})
            data = b"" if body is None else orjson.dumps(body)
        except (UnicodeEncodeError, orjson.JSONEncodeError) as error:
            return self.fail(str(error), jobs.ExecutionStatus.NOT_RUN)
        try:
            with gevent.Timeout(self.settings.timeout_s, OSError("timeout")):
                return self.send(method, target, data)
        except ConnectionRefusedError:
            return self.fail("connection refused", jobs.ExecutionStatus.NOT_RUN)
        except (OSError, ValueError, http.client.HTTPException) as error:
            reason = str(error) or type(error).__name__
            return self.fail(reason, jobs.ExecutionStatus.UNKNOWN)

    def fail(self, reason: str, ran: jobs.ExecutionStatus) -> Outcome:
        """Returns the failure of a call."""
        return result.Failure(
            NoReply(reason=f"{self.settings.url}: {reason}", ran=ran)
        )

    def connect(self) -> geventhttpclient.HTTPClient:
        """Returns a client for one connection, which is opened when used."""
        parts = urllib.parse.urlsplit(self.settings.url)
        return geventhttpclient.HTTPClient(
            parts.hostname,
            port=parts.port,
            ssl=parts.scheme == "https",
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=self.settings.timeout_s,
        )

    def send(self, method: str, path: str, data: bytes) -> Outcome:
        """Sends one call over a connection of its own."""
        http_client = self.connect()
        headers = {"Content-Type": "application/json"}
        key = self.settings.key.get_secret_value()
        if key:
            headers["Authorization"] = f"Bearer {key}"
        try:
            response = http_client.request(
                method, path, body=data, headers=headers
            )
            raw = bytes(response.read())
        finally:
            http_client.close()
        return result.Success(
            Reply(
                status=response.status_code,
                media=orjson.loads(raw) if raw else None,
            )
        )


def add_query(path: str, query: dict[str, object]) -> str:
    """Returns a path with a query string, without empty parameters."""
    given = {
        name: value for name, value in query.items() if value not in (None, "")
    }
    return f"{path}?{urllib.parse.urlencode(given)}" if given else path


def quote(part: str) -> str:
    """Returns one segment of a path, escaped for a URL."""
    return urllib.parse.quote(part, safe="")
