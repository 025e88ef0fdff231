"""Detection of pauses of this process."""

from collections.abc import Callable
import logging

import gevent

from hickoryreach_entry import clock

log = logging.getLogger(__name__)

BEAT_INTERVAL_S = 0.2
PAUSE_LIMIT_S = 1.5


class PauseDetector:
    """Notices that this process was stopped, frozen or suspended for a while.

    Attributes:
        on_resumed: Called once after each pause, before anything else is done
            on the caller's behalf.
        beat_at: When the process was last seen to run, on the boot clock in s.
    """

    def __init__(self, *, on_resumed: Callable[[], None]) -> None:
        """Creates a detector that does not beat yet."""
        self.on_resumed = on_resumed
        self.beat_at = clock.boot_s()

    def beat_forever(self) -> None:
        """Checks at regular intervals, so that a gap shows a pause."""
        while True:
            self.check()
            gevent.sleep(BEAT_INTERVAL_S)

    def check(self) -> None:
        """Reports a pause since the last check, if there was one."""
        now = clock.boot_s()
        gap_s = now - self.beat_at
        self.beat_at = now
        if gap_s > PAUSE_LIMIT_S:
            log.warning("process_resumed", extra={"gap_ms": int(gap_s * 1000)})
            self.on_resumed()
