"""Whether an owner that is not heard has failed."""

import logging
import time

from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

ALONE_S = 2.0


class FailureDetector:
    """Weighs what this entry and its peers hear of an owner.

    A refused connection shows that the process is gone. A silent one may be
    this entry's own fault, so that its peers are asked; without any peer to
    ask it waits longer.

    Attributes:
        refused: Epoch of the owner that refused a connection, or 0.
        since: When the owner was first found silent, in s; 0 if it is not.
    """

    def __init__(self, *, election) -> None:
        """Creates a suspicion of nobody."""
        self.election = election
        self.refused = 0
        self.since = 0.0

    def clear(self) -> None:
        """Forgets what was found, as the owner is heard."""
        self.refused = 0
        self.since = 0.0

    def record_connect_failure(
        self, found: records.Ownership, error: OSError
    ) -> None:
        """Notes an owner that does not accept a connection."""
        if isinstance(error, ConnectionRefusedError):
            self.refused = found.epoch
        elif not self.since:
            self.since = time.monotonic()

    def has_failed(self, found: records.Ownership, silent: bool) -> bool:
        """Returns whether an owner should be replaced."""
        if not silent and self.refused != found.epoch:
            if self.election.join(found):
                return False
            if self.refused != found.epoch and not self.since:
                self.since = time.monotonic()
        if self.refused == found.epoch:
            return True
        now = time.monotonic()
        self.since = self.since or now
        reports = self.election.owner_lookup.query_peers_about(found)
        heard = sum(report.heard for report in reports)
        log.info(
            "owner_suspected",
            extra={
                "owner": found.name,
                "epoch": found.epoch,
                "asked": len(reports),
                "heard_by": heard,
                "silent_ms": int((now - self.since) * 1000),
            },
        )
        if any(report.epoch > found.epoch for report in reports):
            return False
        if reports:
            return 2 * heard < len(reports)
        return now - self.since > ALONE_S
