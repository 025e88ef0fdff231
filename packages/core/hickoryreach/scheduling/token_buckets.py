"""Token buckets that limit the rate of submissions."""

import dataclasses


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class TokenBucket:
    """A token bucket that limits the rate of submissions.

    Attributes:
        jobs: Number of jobs within the share at `at_ms`.
        at_ms: When the bucket was last updated, on the owner's clock.
    """

    jobs: float
    at_ms: int
