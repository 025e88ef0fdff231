"""What each workspace is entitled to while the cell is full."""

from collections.abc import Mapping
import dataclasses

from hickoryreach.structure import resources

FIELDS = ("cpu_millis", "memory_mb", "accelerators", "slots")
EPSILON = 1e-9


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """What one workspace would have running if it were alone.

    Attributes:
        share: Its weight.
        wanted: Sum of what it has running and waiting.
        limit_part: Largest dominant part its limit allows.
    """

    share: float
    wanted: resources.Resources
    limit_part: float = 1.0


def fill(
    demands: Mapping[str, Demand],
    capacity: resources.Resources,
    available: resources.Resources,
) -> dict[str, float]:
    """Returns each workspace's dominant part under progressive filling.

    Every part grows at the rate of its share until its demand or limit is
    met, or a resource it needs is used up. Source: Ghodsi et al., NSDI 2011.
    """
    total = [getattr(capacity, name) for name in FIELDS]
    left = [
        getattr(available, name) / (getattr(capacity, name) or 1)
        for name in FIELDS
    ]
    parts = dict.fromkeys(demands, 0.0)
    growing = {}
    for name, demand in demands.items():
        dominant = demand.wanted.dominant_share(capacity)
        if dominant <= 0:
            continue
        rates = [
            getattr(demand.wanted, field) / whole / dominant if whole else 0.0
            for field, whole in zip(FIELDS, total, strict=True)
        ]
        growing[name] = (rates, min(dominant, demand.limit_part))
    while growing:
        step = _largest_step(demands, growing, parts, left)
        for name, (rates, _) in growing.items():
            grown = step * demands[name].share
            parts[name] += grown
            left = [
                rest - grown * rate
                for rest, rate in zip(left, rates, strict=True)
            ]
        spent = [rest <= EPSILON for rest in left]
        growing = {
            name: (rates, top)
            for name, (rates, top) in growing.items()
            if parts[name] < top - EPSILON
            and not any(
                rate > 0 and empty
                for rate, empty in zip(rates, spent, strict=True)
            )
        }
    return parts


def _largest_step(
    demands: Mapping[str, Demand],
    growing: dict[str, tuple[list[float], float]],
    parts: dict[str, float],
    left: list[float],
) -> float:
    speeds = [0.0] * len(FIELDS)
    step = float("inf")
    for name, (rates, top) in growing.items():
        share = demands[name].share
        step = min(step, (top - parts[name]) / share)
        for position, rate in enumerate(rates):
            speeds[position] += rate * share
    for rest, speed in zip(left, speeds, strict=True):
        if speed > 0:
            step = min(step, max(0.0, rest) / speed)
    return step
