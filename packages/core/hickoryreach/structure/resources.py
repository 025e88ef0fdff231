"""Vectors of resources and their arithmetic."""

import dataclasses
from typing import Self


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Resources:
    """An amount of each resource of a worker.

    Attributes:
        cpu_millis: Processor time in thousandths of a core.
        memory_mb: Memory in MiB.
        accelerators: Number of whole accelerators.
        slots: Number of concurrent requests that a minion serves.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0

    def __add__(self, other: Self) -> "Resources":
        """Returns the sum of each component."""
        return Resources(
            cpu_millis=self.cpu_millis + other.cpu_millis,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
            slots=self.slots + other.slots,
        )

    def __sub__(self, other: Self) -> "Resources":
        """Returns the difference of each component, which may be negative."""
        return Resources(
            cpu_millis=self.cpu_millis - other.cpu_millis,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
            slots=self.slots - other.slots,
        )

    def elementwise_max(self, other: Self) -> "Resources":
        """Returns the maximum of each component."""
        return Resources(
            cpu_millis=max(self.cpu_millis, other.cpu_millis),
            memory_mb=max(self.memory_mb, other.memory_mb),
            accelerators=max(self.accelerators, other.accelerators),
            slots=max(self.slots, other.slots),
        )

    def elementwise_min(self, other: Self) -> "Resources":
        """Returns the minimum of each component."""
        return Resources(
            cpu_millis=min(self.cpu_millis, other.cpu_millis),
            memory_mb=min(self.memory_mb, other.memory_mb),
            accelerators=min(self.accelerators, other.accelerators),
            slots=min(self.slots, other.slots),
        )

    def times(self, count: int) -> "Resources":
        """Returns the amount multiplied by `count`."""
        return Resources(
            cpu_millis=self.cpu_millis * count,
            memory_mb=self.memory_mb * count,
            accelerators=self.accelerators * count,
            slots=self.slots * count,
        )

    def fits_in(self, other: Self) -> bool:
        """Returns whether no component exceeds that of `other`."""
        return (
            self.cpu_millis <= other.cpu_millis
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
            and self.slots <= other.slots
        )

    def dominant_share(self, total: Self) -> float:
        """Returns the largest share of `total` among the components.

        A component of which `total` has none counts as 0.

        Source: dominant resource fairness, Ghodsi et al., NSDI 2011.
        """
        return max(
            self.cpu_millis / total.cpu_millis if total.cpu_millis else 0.0,
            self.memory_mb / total.memory_mb if total.memory_mb else 0.0,
            self.accelerators / total.accelerators
            if total.accelerators
            else 0.0,
            self.slots / total.slots if total.slots else 0.0,
        )


ZERO = Resources()
