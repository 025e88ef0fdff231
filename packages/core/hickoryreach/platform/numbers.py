"""Numbers in answers of the platform, its minions and its advice service."""

MAX_WHOLE = 2**53  # the largest whole number that JSON readers agree on
MALFORMED_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)  # what reading a malformed answer may raise


def parse_whole(value: object) -> int:
    """Returns a whole number from 0 to MAX_WHOLE.

    A larger one could be carried by no order and by no message to a peer.

    Raises:
        OverflowError: The value is infinite.
        TypeError: The value is of another type.
        ValueError: The value is no number, or out of range.
    """
    number = int(value)
    if not 0 <= number <= MAX_WHOLE:
        raise ValueError(f"number must be from 0 to {MAX_WHOLE}")
    return number
