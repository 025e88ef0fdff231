"""What is known of the latest call for a step's advice."""

import dataclasses

SLOW_MS = 150.0  # calls that take longer occupy only some of the entries


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class AdviceCall:
    """The latest call for a step's advice; all times on the owner's clock.

    Attributes:
        pending: Whether it waits for an entry or is under way.
        failed: Whether it failed.
        order: Sort key of the call.
        asked_ms: When it was requested, or -1 without one.
        named: Ids of the minions that it is to name.
        named_ms: When these were last chosen, or -1.
    """

    pending: bool = False
    failed: bool = False
    order: tuple[bool, int, int, float] = (False, 0, 0, 0.0)
    asked_ms: int = -1
    named: tuple[str, ...] = ()
    named_ms: int = -1
