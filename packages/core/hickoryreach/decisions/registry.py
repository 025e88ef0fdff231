"""Registries that decorators fill."""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from hickoryreach import exceptions

K = TypeVar("K")
V = TypeVar("V")


class Registry(Generic[K, V]):
    """Maps a key to the behaviour registered for it.

    Attributes:
        title: What the registry holds, for error messages.
        members: Everything registered so far.
    """

    def __init__(self, *, title: str) -> None:
        """Creates an empty registry."""
        self.title = title
        self.members: dict[K, V] = {}

    def register(self, key: K) -> Callable[[V], V]:
        """Returns a decorator that registers a behaviour under `key`."""

        def decorate(value: V) -> V:
            if key in self.members:
                raise exceptions.InvariantError(
                    f"{self.title}: {key} is registered twice"
                )
            self.members[key] = value
            return value

        return decorate

    def find(self, key: K) -> V:
        """Returns the behaviour under `key`.

        Raises:
            InvariantError: Nothing is registered under it.
        """
        if key not in self.members:
            raise exceptions.InvariantError(f"{self.title}: no entry for {key}")
        return self.members[key]
