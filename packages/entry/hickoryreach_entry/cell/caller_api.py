"""HTTP API for callers on the users' platform."""

import logging
import time

import falcon
import gevent
from gevent import event as gevent_event
from returns import result

from hickoryreach.platform import callers
from hickoryreach.platform import node
from hickoryreach.platform import store
from hickoryreach.structure import cells
from hickoryreach.wire import frames
from hickoryreach_entry.cell import caller_requests
from hickoryreach_entry.cell import configuration_watch
from hickoryreach_entry.cell import job_canceller
from hickoryreach_entry.cell import job_saver
from hickoryreach_entry.cell import member as member_module
from hickoryreach_entry.cell import metrics
from hickoryreach_entry.cell import pause_detector
from hickoryreach_entry.cell import rate_limits
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

ANSWER_MARGIN_S = 0.15
OWNER_TIMEOUT_S = 1.5
OWNER_RETRY_DELAY_S = 0.05
COUNT_MAX_AGE_S = 2.0
RETRY_AFTER_S = 1
CONFIGURATION_TIMEOUT_S = 0.5


class CallerApi:
    """Handles callers' requests for jobs.

    Attributes:
        owner_client: Client of the cell's owner.
        cell_clock: Time of day that the entries agree on.
        job_saver: Saves submitted jobs.
        job_canceller: Cancels jobs.
        client: Client of the store.
        limits: Limits of this process.
        configured: Set once there is a configuration; cleared after a pause
            until it has been read again.
        queues: Queues by host, the longest prefix first.
        keys: Name of the workspace of each API key.
        configuration_source: Watch of the operator's configuration.
        pause_detector: Detector of pauses of this process.
    """

    def __init__(
        self,
        *,
        member: member_module.Member,
        client: store.Store,
        configuration_source: configuration_watch.ConfigurationWatch,
        limits: node.LimitsRow,
    ) -> None:
        """Creates an API without a configuration.

        Args:
            member: This entry as a member of the cell.
            client: Client of the store.
            configuration_source: Watch of the operator's configuration.
            limits: Limits of this process.
        """
        self.owner_client = member.owner_client
        self.cell_clock = member.cell_clock
        self.job_saver = job_saver.JobSaver(owner_client=member.owner_client)
        self.job_canceller = job_canceller.JobCanceller(
            owner_client=member.owner_client,
            limit=rate_limits.RateLimit(per_s=limits.cancels_per_s),
        )
        self.client = client
        self.limits = limits
        self.configuration: cells.Configuration | None = None
        self.configured = gevent_event.Event()
        self.queues: dict[str, list[cells.Queue]] = {}
        self.keys: dict[str, str] = {}
        self.configuration_source = configuration_source
        self.pause_detector = pause_detector.PauseDetector(
            on_resumed=self.handle_pause
        )

    def change_configuration(self, configuration: cells.Configuration) -> None:
        """Applies a configuration."""
        queues: dict[str, list[cells.Queue]] = {}
        for queue in configuration.queues.values():
            queues.setdefault(queue.host.lower(), []).append(queue)
        for queues_of_host in queues.values():
            queues_of_host.sort(key=lambda queue: -len(queue.prefix))
        self.queues = queues
        self.keys = {
            key: workspace.name
            for workspace in configuration.workspaces.values()
            for key in workspace.keys
        }
        self.configuration = configuration
        self.configured.set()

    def handle_pause(self) -> None:
        """Lets callers wait until the configuration has been read again.

        Keys may have been withdrawn while this process was paused. Without an
        answer of the store the known configuration stays in force.
        """
        if self.configuration is not None:
            self.configured.clear()
            gevent.spawn(self.confirm_configuration)

    def confirm_configuration(self) -> None:
        """Reads the configuration again, then lets callers go on."""
        try:
            self.configuration_source.refresh()
        finally:
            self.configured.set()

    def __call__(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Handles one request and counts it."""
        started_at = time.monotonic()
        self.answer(req, resp, started_at)
        metrics.caller_requests.labels(req.method, resp.status[:3]).inc()

    def answer(
        self, req: falcon.Request, resp: falcon.Response, started_at: float
    ) -> None:
        """Authorizes one request and routes it to its operation."""
        self.pause_detector.check()
        if not self.configured.wait(CONFIGURATION_TIMEOUT_S):
            refuse(resp, "no configuration yet")
            return
        queue = self.find_queue(req)
        if queue is None:
            self.deny(resp, falcon.HTTP_404)
            return
        key = callers.parse_api_key(req.get_header("Authorization"))
        workspace = self.keys.get(key, "")
        if not workspace and not queue.open:
            self.deny(resp, falcon.HTTP_401)
            return
        job_id = req.path[len(queue.prefix) :]
        wait_s = caller_requests.get_deadline_s(req) - ANSWER_MARGIN_S
        deadline = started_at + wait_s
        if not job_id and req.method == "GET":
            self.count(resp, queue, deadline)
        elif not callers.is_job_id(job_id):
            fail(resp, falcon.HTTP_400, "the path must end with a job's id")
        elif req.method == "POST":
            self.submit(req, resp, queue, workspace, job_id, deadline)
        elif req.method == "GET":
            self.show_state(resp, job_id, workspace, deadline)
        elif req.method == "DELETE":
            self.cancel(resp, job_id, workspace, deadline)
        else:
            resp.status = falcon.HTTP_405

    def deny(self, resp: falcon.Response, status: str) -> None:
        """Responds that there is no such queue or key.

        While a newer configuration may have added it, the caller is told to
        come again instead; another entry may know it.
        """
        if self.configuration_source.is_current():
            resp.status = status
        else:
            refuse(resp, "the configuration known here may be outdated")

    def find_queue(self, req: falcon.Request) -> cells.Queue | None:
        """Returns the queue for a request's host and path, or None."""
        host = (req.get_header("Host") or "").lower()
        queues_of_host = self.queues.get(host)
        if queues_of_host is None:
            queues_of_host = self.queues.get(host.rsplit(":", 1)[0], [])
        for queue in queues_of_host:
            if req.path.startswith(queue.prefix):
                return queue
        return None

    def count(
        self, resp: falcon.Response, queue: cells.Queue, deadline: float
    ) -> None:
        """Responds with the number of a queue's pending jobs, once known."""
        deadline = min(deadline, time.monotonic() + OWNER_TIMEOUT_S)
        pending = self.owner_client.get_pending(queue.name, COUNT_MAX_AGE_S)
        while pending is None and time.monotonic() < deadline:
            if self.owner_client.is_isolated():
                break
            gevent.sleep(OWNER_RETRY_DELAY_S)
            pending = self.owner_client.get_pending(queue.name, COUNT_MAX_AGE_S)
        if pending is None:
            refuse(resp, "the number is not known at present")
            return
        unconfirmed = len(self.owner_client.unconfirmed_jobs)
        resp.media = callers.format_pending(pending + unconfirmed)

    def submit(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        queue: cells.Queue,
        workspace: str,
        job_id: str,
        deadline: float,
    ) -> None:
        """Stores a job and reports it to the owner."""
        body = caller_requests.read_body(req, self.configuration.body_limit)
        if body is None:
            resp.status = falcon.HTTP_413
            return
        parsed = callers.parse_job(body, self.limits.max_job_steps)
        if isinstance(parsed, result.Failure):
            fail(resp, falcon.HTTP_400, parsed.failure())
            return
        job = callers.build_job(
            parsed.unwrap(),
            job_id=job_id,
            workspace=workspace,
            queue=queue,
            accepted_ms=self.cell_clock.now_ms(),
        )
        started_at = time.monotonic()
        outcome = job_saver.Outcome.NOT_KEPT
        if self.is_full(job_id):
            outcome = self.job_saver.find(job)
        elif not self.owner_client.is_isolated():
            outcome = self.job_saver.save(job, deadline)
        log.info(
            "job_hand_in",
            extra={
                "job": job_id,
                "workspace": workspace,
                "queue": queue.name,
                "config": self.configuration.version,
                "outcome": str(outcome),
                "took_ms": int((time.monotonic() - started_at) * 1000),
            },
        )
        if outcome is job_saver.Outcome.KEPT:
            metrics.job_store_seconds.observe(time.monotonic() - started_at)
            resp.media = {}
        elif outcome is job_saver.Outcome.NOT_KEPT:
            refuse(resp, "the job could not be kept and does not run")
        elif outcome is job_saver.Outcome.CANCELLED:
            fail(resp, falcon.HTTP_410, "the job was cancelled before")
        elif outcome is job_saver.Outcome.OTHER_WORKSPACE:
            fail(resp, falcon.HTTP_409, "the id belongs to another job")
        else:
            resp.status = falcon.HTTP_504

    def is_full(self, job_id: str) -> bool:
        """Returns whether the owner has no memory for another job."""
        held_bytes = self.owner_client.get_job_bytes()
        if held_bytes < self.limits.max_job_bytes:
            return False
        log.warning(
            "cell_full",
            extra={
                "job": job_id,
                "held_bytes": held_bytes,
                "limit_bytes": self.limits.max_job_bytes,
            },
        )
        return True

    def show_state(
        self,
        resp: falcon.Response,
        job_id: str,
        workspace: str,
        deadline: float,
    ) -> None:
        """Responds with the state of a job."""
        if self.owner_client.is_isolated():
            refuse(resp, "this entry is cut off from the cell")
            return
        report = None
        if self.owner_client.has_owner():
            report = self.owner_client.call(
                min(deadline, time.monotonic() + OWNER_TIMEOUT_S),
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
        """Responds with the state of a stored job the owner does not report."""
        decoded = records.decode_stored_job(item.data or b"")
        if isinstance(decoded, result.Failure):
            refuse(resp, "the job can't be read")
            return
        kept = decoded.unwrap()
        is_job = not isinstance(kept, records.CancelledId)
        if not is_job or (workspace and kept.workspace != workspace):
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
        """Cancels a job and responds with its state."""
        if self.owner_client.is_isolated():
            refuse(resp, "this entry is cut off; the job is not cancelled")
            return
        cancelled = self.job_canceller.cancel(job_id, workspace, deadline)
        if cancelled.outcome is job_canceller.Outcome.FINAL:
            resp.media = callers.format_state(
                callers.State(str(cancelled.final))
            )
        elif cancelled.outcome is job_canceller.Outcome.NO_JOB:
            resp.status = falcon.HTTP_410
        elif cancelled.outcome is job_canceller.Outcome.REFUSED:
            refuse(resp, "too many cancellations of ids without a job")
        else:
            resp.status = falcon.HTTP_504


def refuse(resp: falcon.Response, reason: str) -> None:
    """Responds that a request was not served and when to retry it."""
    fail(resp, falcon.HTTP_503, reason)
    resp.set_header("Retry-After", str(RETRY_AFTER_S))


def fail(resp: falcon.Response, status: str, reason: str) -> None:
    """Responds with an error."""
    resp.status = status
    resp.media = {"error": reason}


def build_app(api: CallerApi) -> falcon.App:
    """Returns the WSGI application of the API."""
    app = falcon.App()
    app.add_sink(api, prefix="/")
    return app
