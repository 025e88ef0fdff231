"""Authorization: which workspace or operator makes a call."""

import dataclasses

import falcon
from returns import result

from hickoryreach.lists import allowances
from hickoryreach.lists import plans
from hickoryreach_entry import lists
from hickoryreach_entry.api import problems
from hickoryreach_entry.config import settings as entry_settings

BEARER = "Bearer "
STALE_RETRY_S = 1
FIRST_OPERATOR = "first-operator"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Caller:
    """Whom work is counted for.

    Attributes:
        workspace: The workspace.
        plan: Its plan.
        open_queue: Queue that lets a call in without a key, else empty.
    """

    workspace: str
    plan: str
    open_queue: str = ""


class Access:
    """Decides who may call, from the lists in force.

    Attributes:
        lists: The lists in force.
        settings: Settings of this entry.
    """

    def __init__(
        self, *, in_force: lists.Lists, settings: entry_settings.Settings
    ) -> None:
        """Keeps what it needs."""
        self.lists = in_force
        self.settings = settings

    def find_caller(
        self, req: falcon.Request
    ) -> result.Result[Caller, problems.Problem]:
        """Returns the caller whose key came with a call."""
        stale = self.find_staleness()
        if stale is not None:
            return result.Failure(stale)
        key = get_key(req)
        plan = self.lists.keys.find_caller(key) if key else None
        if plan is None:
            return result.Failure(refuse_key())
        return result.Success(Caller(workspace=plan.workspace, plan=plan.plan))

    def find_submitter(
        self, req: falcon.Request, queue_name: str
    ) -> result.Result[Caller, problems.Problem]:
        """Returns whom work in a queue is counted for, if it may go there.

        A call with a key is judged by its key, also in an open queue.
        """
        queue = self.find_queue(queue_name)
        if queue is not None and queue.open and not has_key(req):
            return self.find_keyless(queue)
        return self.find_caller(req).bind(
            lambda caller: self.check_queue(caller, queue_name, queue)
        )

    def find_reader(
        self, req: falcon.Request
    ) -> result.Result[Caller, problems.Problem]:
        """Returns who asks for a job: by key, or by the open queue named.

        A call without a key reaches only jobs that were submitted without one.
        """
        queue = self.find_queue(req.get_param("queue") or "")
        if queue is not None and queue.open and not has_key(req):
            return self.find_keyless(queue)
        return self.find_caller(req)

    def find_queue(self, name: str) -> allowances.Queue | None:
        """Returns the queue of a name."""
        for queue in self.lists.allowances.queues:
            if queue.name == name:
                return queue
        return None

    def find_keyless(
        self, queue: allowances.Queue
    ) -> result.Result[Caller, problems.Problem]:
        """Returns whom work without a key in an open queue is counted for."""
        stale = self.find_staleness()
        if stale is not None:
            return result.Failure(stale)
        plan = self.lists.keys.workspaces.get(queue.workspace)
        if plan is None:
            return result.Failure(refuse_key())
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
        allowed = self.find_queues(caller.plan)
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

    def find_queues(self, plan: str) -> list[str]:
        """Returns the queues that a plan may use, and those open to all."""
        document = self.lists.allowances
        allowed = [
            name
            for row in document.allowances
            if row.plan == plan
            for name in row.queues
        ]
        opened = [row.name for row in document.queues if row.open]
        return sorted({*allowed, *opened})

    def find_operator(
        self, req: falcon.Request
    ) -> result.Result[str, problems.Problem]:
        """Returns the name of the operator whose key came with a call."""
        stale = self.find_staleness()
        if stale is not None:
            return result.Failure(stale)
        key = get_key(req)
        if not self.lists.plans.operators:
            return self.check_first_operator(key)
        operator = self.lists.keys.find_operator(key) if key else None
        if operator is None:
            return result.Failure(refuse_operator())
        return result.Success(operator.name)

    def check_first_operator(
        self, key: str
    ) -> result.Result[str, problems.Problem]:
        """Returns the first operator's name if this is the key of the setting.

        Only fresh lists can show that no operator is listed.
        """
        first = self.settings.first_operator_hash
        if first and key and plans.hash_key(key) == first:
            return result.Success(FIRST_OPERATOR)
        return result.Failure(refuse_operator())

    def find_staleness(self) -> problems.Problem | None:
        """Returns the refusal while newer lists might be in force."""
        if self.lists.fresh_s() <= self.settings.lists_max_age_s:
            return None
        return problems.Problem(
            status=503,
            reason="lists_stale",
            detail="This entry cannot tell whether its lists are the newest; "
            "send the call to another entry.",
            retry_after_s=STALE_RETRY_S,
        )


def has_key(req: falcon.Request) -> bool:
    """Returns whether a call brings any credentials."""
    return req.get_header("Authorization") is not None


def get_key(req: falcon.Request) -> str:
    """Returns the key that came with a call, or an empty string."""
    header = req.get_header("Authorization") or ""
    if header[: len(BEARER)].lower() != BEARER.lower():
        return ""
    return header[len(BEARER) :].strip()


def refuse_key() -> problems.Problem:
    """Returns the refusal of a call without a granted key."""
    return problems.Problem(
        status=401,
        reason="key_refused",
        detail="Send a granted key as `Authorization: Bearer KEY`.",
    )


def refuse_operator() -> problems.Problem:
    """Returns the refusal of a call without an operator's key."""
    return problems.Problem(
        status=401,
        reason="operator_key_refused",
        detail="Send an operator's key as `Authorization: Bearer KEY`.",
    )
