"""Detection of an owner that has failed."""

import logging
import time

from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

NO_PEERS_TIMEOUT_S = 2.0


class FailureDetector:
    """Decides from connections and peers' reports if an owner has failed.

    A refused connection shows that the owner's process is gone. Silence may
    also be due to this entry's own network, so that its peers are asked.
    Without any peer that answers, the detector waits longer.

    Attributes:
        refused: Epoch of the owner that refused a connection or answered that
            it is not the owner, or 0.
        silent_since: When the owner was first found silent, on the monotonic
            clock in s; 0 if it is not silent.
    """

    def __init__(self, *, election) -> None:
        """Starts without any observation.

        Args:
            election: Election that connects to the owner.
        """
        self.election = election
        self.refused = 0
        self.silent_since = 0.0

    def reset(self) -> None:
        """Discards the observations once the owner is heard."""
        self.refused = 0
        self.silent_since = 0.0

    def record_connect_failure(
        self, found: records.Ownership, error: OSError
    ) -> None:
        """Records that a connection to an owner could not be opened.

        Only a refused connection shows that the process is gone.
        """
        if isinstance(error, ConnectionRefusedError):
            self.refused = found.epoch
        elif not self.silent_since:
            self.silent_since = time.monotonic()

    def has_failed(self, found: records.Ownership, silent: bool) -> bool:
        """Returns whether an owner should be replaced.

        Args:
            found: The owner that the store names.
            silent: Whether a connection to the owner is open but silent.
        """
        if not silent and self.refused != found.epoch:
            if self.election.follow(found):
                return False
            if self.refused != found.epoch and not self.silent_since:
                self.silent_since = time.monotonic()
        if self.refused == found.epoch:
            return True
        now = time.monotonic()
        self.silent_since = self.silent_since or now
        reports = self.election.owner_lookup.query_peers_about(found)
        heard = sum(report.heard for report in reports)
        log.info(
            "owner_suspected",
            extra={
                "owner": found.name,
                "epoch": found.epoch,
                "asked": len(reports),
                "heard_by": heard,
                "silent_ms": int((now - self.silent_since) * 1000),
            },
        )
        if any(report.epoch > found.epoch for report in reports):
            return False
        if reports:
            return 2 * heard < len(reports)
        return now - self.silent_since > NO_PEERS_TIMEOUT_S
