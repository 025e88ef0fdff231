"""Time of day that the entries of a cell agree on."""

import statistics

from hickoryreach_entry import clock

MIN_SAMPLES = 3
MS_PER_S = 1_000


class CellClock:
    """Estimates the time of day from the wall clocks of several entries.

    A wall clock may jump by seconds and back. The owner takes the median of
    its followers' wall clocks and its own, and tells the followers, so that a
    jump on some machines moves neither due times nor the ages of jobs. Between
    two reports the boot clock counts, which does not jump.

    Attributes:
        offset_ms: Time of day minus the boot clock, in ms; None before the
            first estimate.
        samples: Followers' wall clocks minus the boot clock in ms, by name.
    """

    def __init__(self) -> None:
        """Starts with this entry's wall clock alone."""
        self.offset_ms: int | None = None
        self.samples: dict[str, int] = {}

    def now_ms(self) -> int:
        """Returns the time of day in ms since 1970."""
        if self.offset_ms is None:
            return clock.wall_ms()
        return get_boot_ms() + self.offset_ms

    def follow(self, cell_ms: int) -> None:
        """Adopts the time that the owner reports.

        Args:
            cell_ms: The owner's estimate in ms since 1970; 0 for none.
        """
        if cell_ms:
            self.offset_ms = cell_ms - get_boot_ms()
        self.samples.clear()

    def record_sample(self, name: str, wall_ms: int) -> None:
        """Records a follower's wall clock and estimates the time anew.

        Args:
            name: Name of the follower.
            wall_ms: Its wall clock in ms since 1970; 0 if not reported.
        """
        if not wall_ms:
            return
        self.samples[name] = wall_ms - get_boot_ms()
        own = clock.wall_ms() - get_boot_ms()
        if len(self.samples) + 1 >= MIN_SAMPLES:
            self.offset_ms = int(
                statistics.median([own, *self.samples.values()])
            )

    def drop_sample(self, name: str) -> None:
        """Forgets the wall clock of a follower that is gone."""
        self.samples.pop(name, None)


def get_boot_ms() -> int:
    """Returns the boot clock in ms."""
    return int(clock.boot_s() * MS_PER_S)
