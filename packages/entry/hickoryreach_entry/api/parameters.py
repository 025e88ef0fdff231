"""Parses the query parameters of calls."""

import re

import falcon
import pydantic
from returns import result

from hickoryreach.structure import jobs
from hickoryreach_entry.api import problems

MAX_WAIT_MS = 60_000
DEFAULT_REQUEST_WAIT_MS = 30_000
MS_PER_S = 1000

NUMBER_PATTERN = re.compile(r"[0-9]{1,15}")

_wait_type = pydantic.TypeAdapter(pydantic.NonNegativeInt)


def parse_number(text: str) -> int | None:
    """Returns a whole number of at most 15 digits, or None."""
    return int(text) if NUMBER_PATTERN.fullmatch(text) else None


def get_wait_s(
    req: falcon.Request, kind: jobs.Kind | None = None
) -> result.Result[float, problems.Problem]:
    """Returns how long to wait for the job's end, in s."""
    default_ms = DEFAULT_REQUEST_WAIT_MS if kind is jobs.Kind.REQUEST else 0
    text = req.get_param("wait_ms")
    try:
        wait_ms = (
            default_ms if text is None else _wait_type.validate_python(text)
        )
    except pydantic.ValidationError:
        return result.Failure(
            problems.build_malformed_problem(
                "Give `wait_ms` as a whole number of ms, 0 or more."
            )
        )
    return result.Success(min(wait_ms, MAX_WAIT_MS) / MS_PER_S)


def get_limit(req: falcon.Request, default: int, max_limit: int) -> int:
    """Returns the page size that the caller asks for, up to a maximum.

    Raises:
        falcon.HTTPInvalidParam: `limit` is not a number of 1 or more.
    """
    limit = req.get_param_as_int("limit", min_value=1, default=default)
    return min(limit, max_limit)


def build_cursor_problem() -> problems.Problem:
    """Returns the problem for an `after` that is not a valid cursor."""
    return problems.build_malformed_problem(
        "Pass `after` as the last page gave it."
    )
