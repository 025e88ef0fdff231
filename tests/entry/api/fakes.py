"""HTTP interface of one entry with a fake store and fake owners."""

import falcon.testing

from hickoryreach.lists import allowances
from hickoryreach.structure import jobs
from hickoryreach.wire import messages
from hickoryreach_entry import lists
from hickoryreach_entry import waiters
from hickoryreach_entry.api import app
from hickoryreach_entry.config import settings as entry_settings
from tests.core.lists import fakes

NORTH_KEY = "north-key-1"
SOUTH_KEY = "south-key-1"
OPERATOR_KEY = "ops-key"
SETTINGS = entry_settings.Settings(
    name="entry-0", failure_domain="a", max_callers=2
)


class FakeFront:
    """Records submissions and responds with a configured notice.

    Attributes:
        submitted: Jobs submitted.
        queried: Job id and workspace of each query and cancellation.
        sent: Messages sent directly to owners.
        notice: Fields of the next notice; None for no response.
        crash: Error that the next call raises.
    """

    def __init__(self) -> None:
        """Creates a front that reports success."""
        self.submitted: list[jobs.Job] = []
        self.queried: list[tuple[str, str]] = []
        self.sent: list[tuple[int, str, object]] = []
        self.notice: dict | None = {"state": "succeeded", "ran": "ran"}
        self.crash: Exception | None = None

    def submit(self, job: jobs.Job, *, body: bytes, wait_s: float):
        """Records a submission."""
        self.submitted.append(job)
        return self.answer(job.job_id)

    def query(self, job_id: str, workspace: str, *, wait_s: float):
        """Records a query."""
        self.queried.append((job_id, workspace))
        return self.answer(job_id)

    cancel = query

    def answer(self, job_id: str) -> waiters.Waiter:
        """Returns a waiter that has received the configured notice."""
        if self.crash is not None:
            raise self.crash
        waiter = waiters.Waiter(job_id=job_id)
        if self.notice is not None:
            waiter.notice = messages.Notice(job_id=job_id, **self.notice)
        return waiter

    def send_to_owner(self, shard: int, field: str, message: object) -> bool:
        """Records a message."""
        self.sent.append((shard, field, message))
        return True


class Entry:
    """HTTP interface under test with its dependencies."""

    def __init__(
        self,
        *,
        store: fakes.FakeStore | None = None,
        first_operator_hash: str = "",
    ) -> None:
        """Creates an entry whose lists are in force and fresh."""
        self.store = store or build_store()
        self.front = FakeFront()
        self.now_s = 100.0
        self.lists = lists.Lists(client=self.store, clock=lambda: self.now_s)
        self.read_store()
        self.list_reply = messages.ListReply(owner=True)
        self.list_requests: list[messages.ListRequest] = []
        self.client = falcon.testing.TestClient(
            app.build_app(
                front_end=self.front,
                in_force=self.lists,
                settings=SETTINGS.model_copy(
                    update={"first_operator_hash": first_operator_hash}
                ),
                is_ready=lambda: True,
                list_jobs=self.list_jobs,
            )
        )

    def read_store(self) -> None:
        """Loads the lists from the store."""
        self.lists.take_snapshot(
            self.store.watch("hickoryreach/lists/").unwrap()
        )
        self.lists.freshness.record_read(self.now_s)

    def list_jobs(self, request: messages.ListRequest) -> messages.ListReply:
        """Records a listing and returns the configured reply."""
        self.list_requests.append(request)
        return self.list_reply

    def call(
        self, method: str, path: str, key: str = "", **fields
    ) -> falcon.testing.Result:
        """Makes one call."""
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        return self.client.simulate_request(
            method, path, headers=headers, **fields
        )


def build_store() -> fakes.FakeStore:
    """Returns a store with two workspaces, three queues and two steps."""
    step = allowances.Step(
        action="submit",
        arguments={"-N": allowances.Argument(field="reference", required=True)},
        command="issue",
        output='Your job "$reference" has been submitted',
    )
    allowed = allowances.Allowances(
        allowances=(
            allowances.Allowance(plan="basic", steps=("quill.qsend",)),
        ),
        queues=(
            allowances.Queue(name="default"),
            allowances.Queue(name="late"),
            allowances.Queue(name="public", open=True, workspace="south"),
        ),
        steps={"quill.qsend": step, "quill.qmove": step},
    )
    client = fakes.FakeStore()
    fakes.put_list(client, "allowances", allowed)
    fakes.put_list(client, "plans", fakes.build_plans("north", "south"))
    return client
