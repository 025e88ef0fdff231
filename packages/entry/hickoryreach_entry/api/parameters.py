"""Query parameters of calls, checked."""

import re

import falcon
import pydantic
from returns import result

from hickoryreach.structure import jobs
from hickoryreach_entry.api import problems

WAIT_LIMIT_MS = 60_000
REQUEST_WAIT_MS = 30_000
MS_PER_S = 1000

NUMBER_PATTERN = re.compile(r"[0-9]{1,15}")

_wait_type = pydantic.TypeAdapter(pydantic.NonNegativeInt)


def parse_number(text: str) -> int | None:
    """Returns a whole number of at most 15 digits, or None."""
    return int(text) if NUMBER_PATTERN.fullmatch(text) else None


def get_wait_s(
    req: falcon.Request, kind: jobs.Kind | None = None
) -> result.Result[float, problems.Problem]:
    """Returns how long the caller wants to wait for the job's end, in s."""
    default_ms = REQUEST_WAIT_MS if kind is jobs.Kind.REQUEST else 0
    text = req.get_param("wait_ms")
    try:
        wait_ms = (
            default_ms if text is None else _wait_type.validate_python(text)
        )
    except pydantic.ValidationError:
        return result.Failure(
            problems.refuse_malformed(
                "Give `wait_ms` as a whole number of ms, 0 or more."
            )
        )
    return result.Success(min(wait_ms, WAIT_LIMIT_MS) / MS_PER_S)


def get_limit(req: falcon.Request, default: int, most: int) -> int:
    """Returns how many rows the caller wants on one page.

    Raises:
        falcon.HTTPInvalidParam: `limit` is no number of 1 or more.
    """
    limit = req.get_param_as_int("limit", min_value=1, default=default)
    return min(limit, most)


def refuse_cursor() -> problems.Problem:
    """Returns the refusal of an `after` that no page ended with."""
    return problems.refuse_malformed("Pass `after` as the last page gave it.")
