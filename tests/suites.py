"""Splits the tests into groups that run in processes of their own."""

from collections.abc import Iterator
import unittest

INTEGRATION_PREFIX = "tests.integration."
CROWDS_PREFIX = "tests.crowds."


def get_cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yields every test case of a suite."""
    for member in suite:
        if isinstance(member, unittest.TestSuite):
            yield from get_cases(member)
        else:
            yield member


def name_class(case: unittest.TestCase) -> str:
    """Returns the dotted name of a test's class.

    A module that does not import is named by the test that reports it.
    """
    cls = type(case)
    if cls.__module__.startswith("unittest."):
        return case.id()
    return f"{cls.__module__}.{cls.__qualname__}"


def get_groups(names: list[str]) -> list[list[str]]:
    """Returns groups of test classes, the longest-running first.

    Each integration class starts processes and has a group of its own; all
    other classes are spread over the modules' groups. Those that run apart
    from others are left out.
    """
    alone = [[name] for name in names if name.startswith(INTEGRATION_PREFIX)]
    packages: dict[str, list[str]] = {}
    for name in names:
        if not name.startswith((INTEGRATION_PREFIX, CROWDS_PREFIX)):
            package = ".".join(name.split(".")[:3])
            packages.setdefault(package, []).append(name)
    return [*alone, *packages.values()]


def get_lone_groups(names: list[str]) -> list[list[str]]:
    """Returns the groups that run one at a time, apart from all others."""
    return [[name] for name in names if name.startswith(CROWDS_PREFIX)]
