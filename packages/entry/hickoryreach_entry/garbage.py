"""Settings of Python's garbage collector for a long-lived server.

An owner's state is large, lives long and holds few cycles. With the defaults
each full collection walks all of it, and decisions wait meanwhile.
"""

import gc

YOUNG_OBJECTS = 50_000
YOUNG_COLLECTIONS = 20
MIDDLE_COLLECTIONS = 100


def set_up() -> None:
    """Leaves what stands at the start out of collections, and spaces them."""
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_COLLECTIONS, MIDDLE_COLLECTIONS)
    gc.enable()
