"""Greenlets of one ownership of the cell, which end with it."""

from collections.abc import Callable
from collections.abc import Iterable
import logging

import gevent
from gevent import pool

from hickoryreach_entry import greenlets

log = logging.getLogger(__name__)


class OwnershipScope:
    """Runs whatever an ownership starts, until the ownership ends.

    A greenlet of an earlier ownership would call minions with a token that
    they refuse, or change what belongs to a later one. So none outlives its
    scope, and none starts in a scope that is closed.

    Attributes:
        epoch: Number of the ownership.
        closed: Whether the ownership has ended.
        running: Greenlets that have not ended.
    """

    def __init__(self, *, epoch: int) -> None:
        """Opens a scope in which nothing runs yet."""
        self.epoch = epoch
        self.closed = False
        self.running = pool.Group()

    def spawn(self, run: Callable, *args: object) -> gevent.Greenlet:
        """Runs a function in a greenlet, unless the scope is closed."""
        return self.spawn_later(0.0, run, *args)

    def spawn_vital(self, run: Callable, *args: object) -> gevent.Greenlet:
        """Runs a function whose failure ends the process."""
        return greenlets.make_vital(self.spawn(run, *args))

    def spawn_later(
        self, delay_s: float, run: Callable, *args: object
    ) -> gevent.Greenlet:
        """Runs a function after a delay in s, unless the scope is closed.

        Returns:
            The greenlet; in a closed scope one that has ended already.
        """
        greenlet = gevent.Greenlet(run, *args)
        if self.closed:
            log.info(
                "spawn_after_ownership",
                extra={"epoch": self.epoch, "run": run.__qualname__},
            )
            greenlet.kill(block=False)
            return greenlet
        self.running.add(greenlet)
        if delay_s:
            greenlet.start_later(delay_s)
        else:
            greenlet.start()
        return greenlet

    def join(self, joined: Iterable[gevent.Greenlet]) -> None:
        """Waits for greenlets of this scope.

        Raises:
            GreenletExit: The scope was closed meanwhile. The caller, which
                belongs to it, is to end too.
            Exception: What one of the greenlets has raised.
        """
        gevent.joinall(list(joined), raise_error=True)
        if self.closed:
            raise gevent.GreenletExit

    def close(self) -> None:
        """Ends all greenlets but the present one; later ones do not start."""
        self.closed = True
        current = gevent.getcurrent()
        gevent.killall(
            [each for each in self.running if each is not current], block=False
        )
