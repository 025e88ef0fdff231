"""HTTP interface for callers on the users' platform."""

import logging
import time

import falcon
import gevent
from gevent import event as gevent_event
from returns import result

from hickoryreach.platform import callers
from hickoryreach.platform import store
from hickoryreach.structure import cells
from hickoryreach.structure import steps
from hickoryreach.wire import frames
from hickoryreach_entry.cell import clock
from hickoryreach_entry.cell import member as member_module
from hickoryreach_entry.cell import metrics
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

DEADLINE_HEADER = "Request-Deadline-Ms"
DEADLINE_DEFAULT_MS = 3_000
ANSWER_MARGIN_S = 0.15
OWNER_WAIT_S = 1.5
OWNER_RETRY_S = 0.05
PENDING_LIMIT_S = 2.0
RETRY_AFTER_S = 1
KEEP_RETRY_S = 0.05
HEDGE_S = 0.3
OWNER_KEEP_S = 1.0
CONFIGURATION_WAIT_S = 0.5


class Callers:
    """Answers callers' requests.

    Attributes:
        owner_client: The way to the owner.
        client: The store.
        configured: Set once there is a configuration.
        queues: Queues by host, the longest prefix first.
        keys: Workspace of each key.
    """

    def __init__(
        self, *, member: member_module.Member, client: store.Store
    ) -> None:
        """Creates an interface without a configuration."""
        self.owner_client = member.owner_client
        self.client = client
        self.configuration: cells.Configuration | None = None
        self.configured = gevent_event.Event()
        self.queues: dict[str, list[cells.Queue]] = {}
        self.keys: dict[str, str] = {}

    def change_configuration(self, configuration: cells.Configuration) -> None:
        """Puts a configuration in force."""
        queues: dict[str, list[cells.Queue]] = {}
        for queue in configuration.queues.values():
            queues.setdefault(queue.host.lower(), []).append(queue)
        for members in queues.values():
            members.sort(key=lambda queue: -len(queue.prefix))
        self.queues = queues
        self.keys = {
            key: workspace.name
            for workspace in configuration.workspaces.values()
            for key in workspace.keys
        }
        self.configuration = configuration
        self.configured.set()

    def __call__(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers one request."""
        begun = time.monotonic()
        self.answer(req, resp, begun)
        metrics.caller_requests.labels(req.method, resp.status[:3]).inc()

    def answer(
        self, req: falcon.Request, resp: falcon.Response, begun: float
    ) -> None:
        """Routes one request to what it asks for."""
        if not self.configured.wait(CONFIGURATION_WAIT_S):
            refuse(resp, "no configuration yet")
            return
        queue = self.find_queue(req)
        if queue is None:
            resp.status = falcon.HTTP_404
            return
        key = callers.parse_api_key(req.get_header("Authorization"))
        workspace = self.keys.get(key, "")
        if not workspace and not queue.open:
            resp.status = falcon.HTTP_401
            return
        job_id = req.path[len(queue.prefix) :]
        deadline = begun + get_deadline_s(req) - ANSWER_MARGIN_S
        if not job_id and req.method == "GET":
            self.count(resp, queue, deadline)
        elif not callers.is_job_id(job_id):
            fail(resp, falcon.HTTP_400, "the path must end with a job's id")
        elif req.method == "POST":
            self.submit(req, resp, queue, workspace, job_id, deadline)
        elif req.method == "GET":
            self.show(resp, job_id, workspace, deadline)
        elif req.method == "DELETE":
            self.cancel(resp, job_id, workspace, deadline)
        else:
            resp.status = falcon.HTTP_405

    def find_queue(self, req: falcon.Request) -> cells.Queue | None:
        """Returns the queue that a request's host and path name."""
        host = (req.get_header("Host") or "").lower()
        members = self.queues.get(host)
        if members is None:
            members = self.queues.get(host.rsplit(":", 1)[0], [])
        for queue in members:
            if req.path.startswith(queue.prefix):
                return queue
        return None

    def count(
        self, resp: falcon.Response, queue: cells.Queue, deadline: float
    ) -> None:
        """Answers how many jobs of a queue wait, once that is known."""
        deadline = min(deadline, time.monotonic() + OWNER_WAIT_S)
        pending = self.owner_client.get_pending(queue.name, PENDING_LIMIT_S)
        while pending is None and time.monotonic() < deadline:
            if self.owner_client.is_isolated():
                break
            gevent.sleep(OWNER_RETRY_S)
            pending = self.owner_client.get_pending(queue.name, PENDING_LIMIT_S)
        if pending is None:
            refuse(resp, "the number is not known at present")
            return
        own = len(self.owner_client.unconfirmed_jobs)
        resp.media = callers.format_pending(pending + own)

    def submit(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        queue: cells.Queue,
        workspace: str,
        job_id: str,
        deadline: float,
    ) -> None:
        """Keeps a job, then tells the owner."""
        if (req.content_length or 0) > self.configuration.body_limit:
            resp.status = falcon.HTTP_413
            return
        parsed = callers.parse_job(req.bounded_stream.read())
        if isinstance(parsed, result.Failure):
            fail(resp, falcon.HTTP_400, parsed.failure())
            return
        job = callers.build_job(
            parsed.unwrap(),
            job_id=job_id,
            workspace=workspace,
            queue=queue,
            accepted_ms=clock.wall_ms(),
        )
        begun = time.monotonic()
        outcome = "not_kept"
        if not self.owner_client.is_isolated():
            outcome = self.keep(job, deadline)
        log.info(
            "job_hand_in",
            extra={
                "job": job_id,
                "workspace": workspace,
                "queue": queue.name,
                "config": self.configuration.version,
                "outcome": outcome,
                "took_ms": int((time.monotonic() - begun) * 1000),
            },
        )
        if outcome == "kept":
            metrics.job_store_seconds.observe(time.monotonic() - begun)
            resp.media = {}
        elif outcome == "not_kept":
            refuse(resp, "the job could not be kept and does not run")
        elif outcome == "other":
            fail(resp, falcon.HTTP_409, "the id belongs to another job")
        else:
            resp.status = falcon.HTTP_504

    def keep(self, job: steps.Job, deadline: float) -> str:
        """Keeps a job in the store.

        Returns:
            `kept`; `not_kept` when it is certain never to run; `other` when
            the id belongs to another workspace; `unclear`.
        """
        data = records.encode_job(job)
        doubtful = False
        self.owner_client.offer(data)
        while True:
            writing = gevent.spawn(
                self.owner_client.write_job, job.job_id, data
            )
            writing.join(HEDGE_S)
            if not is_settled(writing.value) and self.owner_client.has_owner():
                elsewhere = gevent.spawn(self.save_via_owner, data, deadline)
                for done in gevent.iwait([writing, elsewhere]):
                    if done is elsewhere and done.value == "kept":
                        return "kept"
                    if done is writing and is_settled(done.value):
                        break
                doubtful = doubtful or elsewhere.value != "not_kept"
            written = writing.get()
            if isinstance(written, result.Success):
                self.owner_client.report_stored_job(job.job_id, data)
                return "kept"
            failure = written.failure()
            if failure.conflict:
                return self.resolve_existing_job(job, failure.conflict[0])
            doubtful = doubtful or failure.effect_unknown
            if (
                time.monotonic() + KEEP_RETRY_S >= deadline
                or self.owner_client.is_isolated()
            ):
                return "unclear" if doubtful else "not_kept"
            gevent.sleep(KEEP_RETRY_S)

    def save_via_owner(self, data: bytes, deadline: float) -> str:
        """Has the owner keep a job that the store has not answered here.

        Returns:
            `kept`; `not_kept` when the owner has done nothing that may still
            keep it; `unclear`.
        """
        report = self.owner_client.call_once(
            min(OWNER_KEEP_S, max(0.1, deadline - time.monotonic())),
            "submission",
            frames.Submission(job=data, kept=False),
        )
        if report is None or report.unclear:
            return "unclear"
        return "kept" if report.kept and report.known else "not_kept"

    def resolve_existing_job(self, job: steps.Job, item: store.Item) -> str:
        """Takes a job that is kept already as this one, if it is its own."""
        decoded = records.decode_stored_job(item.data or b"")
        if isinstance(decoded, result.Failure):
            log.error(
                "job_unreadable",
                extra={"job": job.job_id, "reason": decoded.failure()},
            )
            return "unclear"
        kept = decoded.unwrap()
        if kept.workspace != job.workspace:
            return "other"
        if isinstance(kept, steps.Job):
            self.owner_client.report_stored_job(job.job_id, item.data)
        return "kept"

    def show(
        self,
        resp: falcon.Response,
        job_id: str,
        workspace: str,
        deadline: float,
    ) -> None:
        """Answers the state of a job."""
        if self.owner_client.is_isolated():
            refuse(resp, "this entry is cut off from the cell")
            return
        report = None
        if self.owner_client.has_owner():
            report = self.owner_client.ask(
                min(deadline, time.monotonic() + OWNER_WAIT_S),
                "query",
                frames.Query(job_id=job_id, workspace=workspace),
            )
        if report is not None and report.known:
            resp.media = callers.format_state(callers.State(report.state))
            return
        item = self.client.get(records.build_job_key(job_id)).value_or(None)
        if item is None:
            refuse(resp, "the state is not known at present")
        elif item.data is None:
            resp.status = falcon.HTTP_410
        else:
            self.show_stored(resp, item, workspace)

    def show_stored(
        self, resp: falcon.Response, item: store.Item, workspace: str
    ) -> None:
        """Answers for a job that is kept but that no owner has told of."""
        decoded = records.decode_stored_job(item.data or b"")
        if isinstance(decoded, result.Failure):
            refuse(resp, "the job can't be read")
            return
        kept = decoded.unwrap()
        if workspace and kept.workspace != workspace:
            resp.status = falcon.HTTP_410
            return
        if isinstance(kept, records.FinalRecord):
            state = callers.State(str(kept.final))
        else:
            state = callers.State.QUEUED
            self.owner_client.report_stored_job(kept.job_id, item.data)
        resp.media = callers.format_state(state)

    def cancel(
        self,
        resp: falcon.Response,
        job_id: str,
        workspace: str,
        deadline: float,
    ) -> None:
        """Cancels a job."""
        if self.owner_client.is_isolated():
            refuse(resp, "this entry is cut off; the job is not cancelled")
            return
        message = frames.Cancellation(job_id=job_id, workspace=workspace)
        report = self.owner_client.ask(deadline, "cancellation", message)
        if report is not None and not report.known:
            report = self.cancel_stored_job(resp, job_id, message, deadline)
            if resp.status.startswith("410"):
                return
        known = report is not None and report.known
        log.info(
            "job_cancel",
            extra={"job": job_id, "outcome": "kept" if known else "unclear"},
        )
        if known:
            resp.media = callers.format_state(callers.State(report.state))
        else:
            resp.status = falcon.HTTP_504

    def cancel_stored_job(
        self,
        resp: falcon.Response,
        job_id: str,
        message: frames.Cancellation,
        deadline: float,
    ) -> frames.JobReport | None:
        """Cancels a job that may be kept without the owner's knowing."""
        item = self.client.get(records.build_job_key(job_id)).value_or(None)
        if item is None:
            return None
        if item.data is None:
            resp.status = falcon.HTTP_410
            return None
        decoded = records.decode_stored_job(item.data)
        if isinstance(decoded, result.Failure):
            log.error(
                "job_unreadable",
                extra={"job": job_id, "reason": decoded.failure()},
            )
            return None
        kept = decoded.unwrap()
        if message.workspace and kept.workspace != message.workspace:
            resp.status = falcon.HTTP_410
            return None
        if isinstance(kept, records.FinalRecord):
            return frames.JobReport(known=True, state=str(kept.final))
        self.owner_client.report_stored_job(job_id, item.data)
        gevent.sleep(KEEP_RETRY_S)
        return self.owner_client.ask(deadline, "cancellation", message)


def is_settled(
    written: result.Result[int, store.StoreFailure] | None,
) -> bool:
    """Returns whether a write was carried out or met an existing key."""
    if written is None:
        return False
    return isinstance(written, result.Success) or bool(
        written.failure().conflict
    )


def get_deadline_s(req: falcon.Request) -> float:
    """Returns how long the caller waits, in s."""
    text = req.get_header(DEADLINE_HEADER) or ""
    if text.isdigit():
        return int(text) / 1000
    return DEADLINE_DEFAULT_MS / 1000


def refuse(resp: falcon.Response, reason: str) -> None:
    """Refuses a request that has not run, and says when to come back."""
    fail(resp, falcon.HTTP_503, reason)
    resp.set_header("Retry-After", str(RETRY_AFTER_S))


def fail(resp: falcon.Response, status: str, reason: str) -> None:
    """Answers a request that can't be served."""
    resp.status = status
    resp.media = {"error": reason}


def build_app(interface: Callers) -> falcon.App:
    """Returns the WSGI application for callers."""
    app = falcon.App()
    app.add_sink(interface, prefix="/")
    return app
