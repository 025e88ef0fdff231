"""Parsers for the argument styles of legacy commands."""

import argparse
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from returns import result

from hickoryreach.decisions import registry
from hickoryreach.lists import allowances

Arguments = Mapping[str, allowances.Argument]
Values = dict[str, list[str]]
Parser = Callable[[Arguments, Sequence[str]], result.Result[Values, str]]

styles: registry.Registry[str, Parser] = registry.Registry(
    title="argument styles"
)


class _ArgumentParser(argparse.ArgumentParser):
    """Argument parser that raises an error instead of ending the process."""

    def error(self, message: str) -> None:
        """Raises the message as a ValueError."""
        raise ValueError(message)


@styles.register("options")
def parse_options(
    arguments: Arguments, words: Sequence[str]
) -> result.Result[Values, str]:
    """Parses options such as `-N name` or `--ref=name`, and positionals."""
    parser = _ArgumentParser(add_help=False, allow_abbrev=False)
    for name, argument in arguments.items():
        if name.startswith("-"):
            parser.add_argument(name, dest=name, action="append", default=[])
        else:
            parser.add_argument(name, nargs="*" if argument.repeated else "?")
    try:
        found = vars(parser.parse_intermixed_args(list(words)))
    except (ValueError, TypeError) as error:
        return result.Failure(str(error))
    return result.Success(
        {
            name: value if isinstance(value, list) else [value]
            for name, value in found.items()
            if value
        }
    )


@styles.register("pairs")
def parse_pairs(
    arguments: Arguments, words: Sequence[str]
) -> result.Result[Values, str]:
    """Parses `NAME=value` pairs, as separate words or joined by commas."""
    values: Values = {}
    for pair in (part for word in words for part in word.split(",")):
        name, separator, value = pair.partition("=")
        if not separator:
            return result.Failure(f"{pair} is not of the form name=value")
        known = name.lower()
        if known not in arguments:
            return result.Failure(f"{name} is not an argument of this command")
        values.setdefault(known, []).append(value)
    return result.Success(values)


@styles.register("positions")
def parse_positions(
    arguments: Arguments, words: Sequence[str]
) -> result.Result[Values, str]:
    """Parses words by position; a repeated last argument takes the rest."""
    names = list(arguments)
    values: Values = {}
    for position, word in enumerate(words):
        name = names[min(position, len(names) - 1)] if names else ""
        if position >= len(names) and not arguments[name].repeated:
            return result.Failure(f"{word} is one argument too many")
        values.setdefault(name, []).append(word)
    return result.Success(values)
