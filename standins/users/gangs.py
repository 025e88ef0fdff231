"""Gangs of tasks that work only together, on any of the minions."""


class Gangs:
    """Members of gangs that are present on any minion.

    They work only together, and end together.

    Attributes:
        present: Present members with their minions, by gang.
    """

    def __init__(self) -> None:
        """Knows no gang."""
        self.present: dict[tuple[str, int], dict] = {}

    def join(self, minion, run) -> None:
        """Adds a member; all begin their work with the last one."""
        members = self.present.setdefault(run.gang, {})
        members[run.task] = minion
        if self.is_complete(run):
            for task, other in members.items():
                other.runs[task].begun_ms = other.get_clock()

    def is_complete(self, run) -> bool:
        """Returns whether all members of a run's gang are present."""
        return len(self.present.get(run.gang, ())) >= run.members

    def leave(self, run, how: str) -> None:
        """Ends the other members of a gang of which one has ended."""
        members = self.present.pop(run.gang, {})
        for task, other in members.items():
            if task != run.task and task in other.runs:
                other.end(other.runs[task], how if how == "done" else "broken")
