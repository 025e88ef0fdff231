"""Callers whose every submission and answer is kept for the checks."""

import concurrent.futures
import dataclasses
import http.client
import json
import threading
import time
import urllib.error
import urllib.parse
import urllib.request

from standins import checker
from standins import samples

ACKNOWLEDGED = (200, 202)
FINAL_STATES = ("succeeded", "failed", "cancelled", "refused", "unknown")
CALL_TIMEOUT_S = 40.0
POLL_S = 0.2
BATCH_NEED = {"cpu_millis": 500, "memory_mb": 64}
REQUEST_NEED = {"slots": 1}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Work:
    """A submission to make.

    Attributes:
        name: Name of the piece, and its request id.
        workspace: Whose key is sent.
        kind: request, batch, gang or service.
        tasks: Number of tasks.
        idempotent: Whether it may be run again after an unclear end.
        run_ms: How long each task runs.
        need: What each task is said to need.
        arguments: Further arguments.
        service: Minion service of a request.
    """

    name: str
    workspace: str = "north"
    kind: str = "batch"
    tasks: int = 1
    idempotent: bool = True
    run_ms: int = 50
    need: dict | None = None
    arguments: tuple[str, ...] = ()
    service: str = "registry"

    def to_piece(self) -> checker.Piece:
        """Returns the piece of work as the checks know it."""
        return checker.Piece(
            name=self.name,
            workspace=self.workspace,
            idempotent=self.idempotent,
            kind=self.kind,
        )

    def to_body(self) -> dict:
        """Returns the body of the submission."""
        request = self.kind == "request"
        default_need = REQUEST_NEED if request else BATCH_NEED
        body = {
            "request_id": self.name,
            "kind": self.kind,
            "command": "work",
            "arguments": [
                f"piece={self.name}",
                f"run_ms={self.run_ms}",
                *self.arguments,
            ],
            "tasks": self.tasks,
            "idempotent": self.idempotent,
            "need": self.need or default_need,
        }
        if request:
            body["service"] = self.service
        return body


class Ledger:
    """What was submitted and what was answered.

    Attributes:
        pieces: Pieces by name.
        answers: Every answer, in order of receipt.
        job_ids: Job id by piece, once an answer named it.
    """

    def __init__(self) -> None:
        """Creates an empty ledger."""
        self.pieces: dict[str, checker.Piece] = {}
        self.answers: list[checker.Answer] = []
        self.job_ids: dict[str, str] = {}
        self.lock = threading.Lock()

    def submit(
        self, url: str, work: Work, *, wait_ms: int = 10_000
    ) -> checker.Answer:
        """Submits a piece through one entry and keeps the answer."""
        self.pieces[work.name] = work.to_piece()
        return self.make_call(
            work.name,
            "POST",
            f"{url}/v1/jobs?wait_ms={wait_ms}",
            work.to_body(),
        )

    def submit_all(
        self, urls: list[str], works: list[Work], *, wait_ms: int = 10_000
    ) -> list[checker.Answer]:
        """Submits pieces at the same time, through the entries in turn."""
        with concurrent.futures.ThreadPoolExecutor(len(works)) as pool:
            calls = [
                pool.submit(
                    self.submit, urls[i % len(urls)], work, wait_ms=wait_ms
                )
                for i, work in enumerate(works)
            ]
            return [call.result() for call in calls]

    def query(self, url: str, name: str, *, wait_ms: int = 0) -> checker.Answer:
        """Asks for a piece by its job id and keeps the answer."""
        return self.make_call(
            name, "GET", f"{url}/v1/jobs/{self.job_ids[name]}?wait_ms={wait_ms}"
        )

    def cancel(self, url: str, name: str) -> checker.Answer:
        """Cancels a piece and keeps the answer."""
        return self.make_call(
            name, "DELETE", f"{url}/v1/jobs/{self.job_ids[name]}"
        )

    def make_call(
        self, name: str, method: str, url: str, body: dict | None = None
    ) -> checker.Answer:
        """Makes one call; a broken or half answer has status 0."""
        key = samples.caller_key(self.pieces[name].workspace)
        sent = time.monotonic()
        status, content = fetch(method, url, key, body)
        answer = checker.Answer(
            piece=name,
            sent=sent,
            received=time.monotonic(),
            status=status,
            body=content,
            submitted=method == "POST",
        )
        with self.lock:
            self.answers.append(answer)
            if content.get("job_id"):
                self.job_ids[name] = content["job_id"]
        return answer

    def settle(
        self, url: str, *, timeout_s: float
    ) -> dict[str, checker.Answer]:
        """Asks for each piece without a final answer until it has one."""
        deadline = time.monotonic() + timeout_s
        names = {a.piece for a in self.answers if a.status in ACKNOWLEDGED}
        final = {
            answer.piece: answer
            for answer in self.answers
            if answer.status in ACKNOWLEDGED and is_final(answer)
        }
        for name in sorted(names - final.keys()):
            final[name] = self.query(url, name)
            while not is_final(final[name]) and time.monotonic() < deadline:
                time.sleep(POLL_S)
                final[name] = self.query(url, name)
        return final


def is_final(answer: checker.Answer) -> bool:
    """Returns whether an answer tells a state that cannot change."""
    return answer.status > 0 and answer.body.get("state") in FINAL_STATES


def fetch(
    method: str, url: str, key: str, body: object = None
) -> tuple[int, dict]:
    """Makes one HTTP call; returns status 0 without a whole JSON answer.

    An empty key sends none.
    """
    request = urllib.request.Request(
        url,
        data=None if body is None else json.dumps(body).encode(),
        headers={"Content-Type": "application/json"}
        | ({"Authorization": f"Bearer {key}"} if key else {}),
        method=method,
    )
    try:
        status, data = read_whole(request)
        content = json.loads(data)
    except (OSError, ValueError, http.client.HTTPException):
        return 0, {}
    return status, content if isinstance(content, dict) else {}


def read_whole(request: urllib.request.Request) -> tuple[int, bytes]:
    """Returns status and body of any HTTP answer."""
    try:
        with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as reply:
            return reply.status, reply.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
