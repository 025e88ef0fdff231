"""Base classes of the resources for callers and operators."""

from hickoryreach_entry import front
from hickoryreach_entry import waiters
from hickoryreach_entry.api import access
from hickoryreach_entry.api import submissions


class WorkResource:
    """Base of resources through which callers access their work.

    Attributes:
        front: Sends work, queries and cancellations to owners.
        access: Authorizes calls.
        shards: Number of shards of the cell.
    """

    def __init__(
        self, *, front_end: front.Front, callers: access.Access, shards: int
    ) -> None:
        """Stores the dependencies."""
        self.front = front_end
        self.access = callers
        self.shards = shards

    def submit_job(
        self,
        submission: submissions.Submission,
        caller: access.Caller,
        wait_s: float,
    ) -> waiters.Waiter:
        """Sends a submission to its owner, and waits up to `wait_s` seconds."""
        job = submissions.build_job(submission, caller, self.shards)
        return self.front.submit(
            job, body=submissions.build_request_body(job), wait_s=wait_s
        )


class ListResource:
    """Base of resources through which operators access the lists.

    Attributes:
        access: Authorizes calls.
        lists: The lists in force.
    """

    def __init__(self, *, callers: access.Access) -> None:
        """Stores the dependencies."""
        self.access = callers
        self.lists = callers.lists
