"""What the owner of the cell reported last."""

import math
import time

from hickoryreach.wire import frames
from hickoryreach_entry import clock

STATUS_MAX_AGE_S = 2.5


class OwnerStatus:
    """Latest status of an owner, as a follower keeps it.

    Attributes:
        epoch: Epoch of the owner; 0 before the first status.
        succession: First entries in the order in which they take over.
        leaving: Whether the owner was handing its ownership over.
        sent_ms: When the owner sent the status, on its clock.
        followers: Number of followers that could take over from the owner.
        silent: Minions that did not answer, with the time in ms after which
            nothing that the owner started can run there.
        job_bytes: Memory that jobs take of the owner.
        received_at: When the status arrived, on the boot clock in s.
        pending: Last reported jobs by queue none of whose tasks has started.
        pending_received_at: When they were reported, on the monotonic clock in
            s.
    """

    def __init__(self) -> None:
        """Starts without any report."""
        self.epoch = 0
        self.succession: list[frames.PeerInfo] = []
        self.leaving = False
        self.sent_ms = 0
        self.followers = 0
        self.job_bytes = 0
        self.silent: dict[str, int] = {}
        self.received_at = -math.inf
        self.pending: dict[str, int] = {}
        self.pending_received_at = -math.inf

    def record(self, message: frames.Status) -> None:
        """Records a status; one sent during a takeover has no counts."""
        self.epoch = message.epoch
        self.succession = list(message.succession or ())
        self.leaving = bool(message.leaving)
        self.sent_ms = message.sent_ms or 0
        self.followers = message.followers or 0
        self.job_bytes = message.job_bytes or 0
        self.silent = dict(message.silent or {})
        self.received_at = clock.boot_s()
        if message.serving:
            self.pending = dict(message.pending or {})
            self.pending_received_at = time.monotonic()

    def get_age_s(self) -> float:
        """Returns the time since the status arrived, in s."""
        return clock.boot_s() - self.received_at

    def get_silent_minions(self, next_epoch: int) -> dict[str, int]:
        """Returns the silent minions that the previous owner reported.

        Only an owner that was leaving has granted no lease and sent no start
        since then. Any other may have reached a minion again after its report.

        Args:
            next_epoch: Epoch of the ownership that follows.

        Returns:
            The time in ms until no earlier run can exist there, by minion id;
            empty without a report that can be relied on.
        """
        is_recent = self.get_age_s() < STATUS_MAX_AGE_S
        if not self.leaving or not is_recent or self.epoch != next_epoch - 1:
            return {}
        return dict(self.silent)
