"""Commands and acknowledgements that wait to be sent to one worker."""

from collections.abc import Iterable

from hickoryreach.structure import jobs
from hickoryreach.trial import workers as platform_workers

OPERATIONS_PER_SYNC = 500


class Commands:
    """What a worker has not confirmed yet, in the order it was given.

    Attributes:
        operations: Commands, the oldest first.
        sent_starts: Starts among them that were sent at least once.
        acknowledged: Ends that the worker may forget.
    """

    def __init__(self) -> None:
        """Creates commands of which there are none yet."""
        self.operations: list[platform_workers.Operation] = []
        self.sent_starts: set[jobs.TaskKey] = set()
        self.acknowledged: dict[jobs.TaskKey, None] = {}

    def add(self, operation: platform_workers.Operation) -> None:
        """Adds a command to the next sync."""
        self.operations.append(operation)

    def acknowledge(self, key: jobs.TaskKey) -> None:
        """Lets the worker forget an end that is recorded."""
        self.acknowledged[key] = None

    def withdraw(self, key: jobs.TaskKey) -> bool:
        """Takes back a start that was never sent; returns whether it was."""
        if key in self.sent_starts:
            return False
        kept = [each for each in self.operations if each.key != key]
        withdrawn = len(kept) < len(self.operations)
        self.operations = kept
        return withdrawn

    def withdraw_unsent(self) -> list[jobs.TaskKey]:
        """Takes back every start that was never sent; returns their keys."""
        starts = list_starts(self.operations)
        return [key for key in starts if self.withdraw(key)]

    def list_unsent(self) -> list[jobs.TaskKey]:
        """Returns every start that was never sent."""
        return [
            key
            for key in list_starts(self.operations)
            if key not in self.sent_starts
        ]

    def send_next(self) -> tuple[platform_workers.Operation, ...]:
        """Returns what the next sync carries, whose starts count as sent."""
        operations = tuple(self.operations[:OPERATIONS_PER_SYNC])
        self.sent_starts.update(list_starts(operations))
        return operations

    def settle(self, request: platform_workers.SyncRequest) -> None:
        """Drops what the worker has carried out."""
        del self.operations[: len(request.operations)]
        for operation in request.operations:
            self.sent_starts.discard(operation.key)
        for key in request.acknowledged:
            self.acknowledged.pop(key, None)

    def clear(self) -> None:
        """Drops everything, for a worker that is lost."""
        self.operations.clear()
        self.sent_starts.clear()
        self.acknowledged.clear()


def list_starts(
    operations: Iterable[platform_workers.Operation],
) -> list[jobs.TaskKey]:
    """Returns the attempts that operations start."""
    return [
        operation.key for operation in operations if operation.verb == "start"
    ]
