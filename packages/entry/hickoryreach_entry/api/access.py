"""Authenticates calls as a workspace or an operator."""

import dataclasses

import falcon
from returns import result

from hickoryreach.lists import allowances
from hickoryreach.lists import plans
from hickoryreach_entry import lists
from hickoryreach_entry.api import problems
from hickoryreach_entry.config import settings as entry_settings

BEARER_PREFIX = "Bearer "
STALE_LISTS_RETRY_AFTER_S = 1
FIRST_OPERATOR = "first-operator"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Caller:
    """Workspace that a call is made for.

    Attributes:
        workspace: The workspace.
        plan: Its plan.
        open_queue: Open queue that admits a call without a key, else empty.
    """

    workspace: str
    plan: str
    open_queue: str = ""


class Access:
    """Authorizes calls against the lists in force.

    Attributes:
        lists: The lists in force.
        settings: Settings of this entry.
    """

    def __init__(
        self, *, in_force: lists.Lists, settings: entry_settings.Settings
    ) -> None:
        """Stores the dependencies."""
        self.lists = in_force
        self.settings = settings

    def find_caller(
        self, req: falcon.Request
    ) -> result.Result[Caller, problems.Problem]:
        """Returns the caller whose key a call carries."""
        stale = self.find_stale_lists_problem()
        if stale is not None:
            return result.Failure(stale)
        key = get_key(req)
        plan = self.lists.keys.find_caller(key) if key else None
        if plan is None:
            return result.Failure(build_key_problem())
        return result.Success(Caller(workspace=plan.workspace, plan=plan.plan))

    def find_submitter(
        self, req: falcon.Request, queue_name: str
    ) -> result.Result[Caller, problems.Problem]:
        """Returns the caller that submits to a queue, if it may do so.

        A call with a key is authorized by that key, even for an open queue.
        """
        queue = self.find_queue(queue_name)
        if queue is not None and queue.open and not has_key(req):
            return self.find_anonymous_caller(queue)
        return self.find_caller(req).bind(
            lambda caller: self.check_queue(caller, queue_name, queue)
        )

    def find_job_caller(
        self, req: falcon.Request
    ) -> result.Result[Caller, problems.Problem]:
        """Returns the caller of a job, by key or by the open queue named.

        A call without a key reaches only jobs that were submitted without one.
        """
        queue = self.find_queue(req.get_param("queue") or "")
        if queue is not None and queue.open and not has_key(req):
            return self.find_anonymous_caller(queue)
        return self.find_caller(req)

    def find_queue(self, name: str) -> allowances.Queue | None:
        """Returns the queue with a name, or None."""
        for queue in self.lists.allowances.queues:
            if queue.name == name:
                return queue
        return None

    def find_anonymous_caller(
        self, queue: allowances.Queue
    ) -> result.Result[Caller, problems.Problem]:
        """Returns the caller of an open queue that is used without a key."""
        stale = self.find_stale_lists_problem()
        if stale is not None:
            return result.Failure(stale)
        plan = self.lists.keys.workspaces.get(queue.workspace)
        if plan is None:
            return result.Failure(build_key_problem())
        return result.Success(
            Caller(
                workspace=plan.workspace,
                plan=plan.plan,
                open_queue=queue.name,
            )
        )

    def check_queue(
        self, caller: Caller, name: str, queue: allowances.Queue | None
    ) -> result.Result[Caller, problems.Problem]:
        """Returns the caller if its plan may use a queue."""
        allowed = self.list_allowed_queues(caller.plan)
        if queue is None:
            problem = problems.Problem(
                status=422,
                reason="unknown_queue",
                detail=f"Submit to one of: {', '.join(allowed)}.",
            )
            return result.Failure(problem)
        if name not in allowed:
            problem = problems.Problem(
                status=403,
                reason="queue_not_allowed",
                detail=f"Plan {caller.plan} may submit to one of: "
                f"{', '.join(allowed)}.",
            )
            return result.Failure(problem)
        return result.Success(caller)

    def list_allowed_queues(self, plan: str) -> list[str]:
        """Returns the names of a plan's queues and of all open queues."""
        document = self.lists.allowances
        allowed = [
            name
            for row in document.allowances
            if row.plan == plan
            for name in row.queues
        ]
        open_queues = [row.name for row in document.queues if row.open]
        return sorted({*allowed, *open_queues})

    def find_operator(
        self, req: falcon.Request
    ) -> result.Result[str, problems.Problem]:
        """Returns the name of the operator whose key a call carries."""
        stale = self.find_stale_lists_problem()
        if stale is not None:
            return result.Failure(stale)
        key = get_key(req)
        if not self.lists.plans.operators:
            return self.check_first_operator(key)
        operator = self.lists.keys.find_operator(key) if key else None
        if operator is None:
            return result.Failure(build_operator_problem())
        return result.Success(operator.name)

    def check_first_operator(
        self, key: str
    ) -> result.Result[str, problems.Problem]:
        """Returns the first operator's name if the key matches the setting.

        The caller checks first that the lists are fresh: only fresh lists
        prove that no operator is listed.
        """
        first_hash = self.settings.first_operator_hash
        if first_hash and key and plans.hash_key(key) == first_hash:
            return result.Success(FIRST_OPERATOR)
        return result.Failure(build_operator_problem())

    def find_stale_lists_problem(self) -> problems.Problem | None:
        """Returns a problem if the lists are too old, else None."""
        if self.lists.fresh_s() <= self.settings.lists_max_age_s:
            return None
        return problems.Problem(
            status=503,
            reason="lists_stale",
            detail="This entry cannot tell whether its lists are the newest; "
            "send the call to another entry.",
            retry_after_s=STALE_LISTS_RETRY_AFTER_S,
        )


def has_key(req: falcon.Request) -> bool:
    """Returns whether a call carries any credentials."""
    return req.get_header("Authorization") is not None


def get_key(req: falcon.Request) -> str:
    """Returns the bearer key that a call carries, or an empty string."""
    header = req.get_header("Authorization") or ""
    if header[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX.lower():
        return ""
    return header[len(BEARER_PREFIX) :].strip()


def build_key_problem() -> problems.Problem:
    """Returns the problem for a call without a granted key."""
    return problems.Problem(
        status=401,
        reason="key_refused",
        detail="Send a granted key as `Authorization: Bearer KEY`.",
    )


def build_operator_problem() -> problems.Problem:
    """Returns the problem for a call without an operator's key."""
    return problems.Problem(
        status=401,
        reason="operator_key_refused",
        detail="Send an operator's key as `Authorization: Bearer KEY`.",
    )
