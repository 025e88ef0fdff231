"""Commands for operators."""

from cleo.helpers import argument

from hickoryreach_cli import client
from hickoryreach_cli import reports
from hickoryreach_cli.commands import audit
from hickoryreach_cli.commands import keys
from hickoryreach_cli.commands import lists
from hickoryreach_cli.console import base

LIST_HELP = "plans or allowances."
LIST = argument("list", LIST_HELP)
FILE = argument("file", "JSON file, as `lists get` prints it.")


class ListsGetCommand(base.EntryCommand):
    """Shows a list."""

    name = "lists get"
    description = "Show a list with its revision."
    arguments = [LIST]

    def answer(self, caller: client.Client) -> reports.Report:
        """Reads the list."""
        return lists.get(caller, self.argument("list"))


class ListsSetCommand(base.EntryCommand):
    """Replaces a list."""

    name = "lists set"
    description = "Replace a list, if its revision is still the newest."
    arguments = [LIST, FILE]
    parameters = [
        base.value_option(
            "revision", "Revision it was made on; the file's if not."
        )
    ]

    def answer(self, caller: client.Client) -> reports.Report:
        """Replaces the list."""
        return lists.put(
            caller,
            self.argument("list"),
            self.argument("file"),
            self.number("revision"),
        )


class ListsCheckCommand(base.EntryCommand):
    """Checks a list."""

    name = "lists check"
    description = "Show what is wrong with a list; change nothing."
    arguments = [LIST, FILE]

    def answer(self, caller: client.Client) -> reports.Report:
        """Checks the file."""
        return lists.check(caller, self.argument("list"), self.argument("file"))


class ListsDiffCommand(base.EntryCommand):
    """Compares a list."""

    name = "lists diff"
    description = "Show what a list would change; change nothing."
    arguments = [LIST, FILE]

    def answer(self, caller: client.Client) -> reports.Report:
        """Compares the file."""
        return lists.diff(caller, self.argument("list"), self.argument("file"))


class KeysMakeCommand(base.EntryCommand):
    """Makes a key."""

    name = "keys make"
    description = "Make a key and show it with its hash; send nothing."

    def answer(self, caller: client.Client) -> reports.Report:
        """Makes the key."""
        return keys.make()


WORKSPACE = argument("workspace", "Workspace of the key.")
KEY_ID = argument("key-id", "Name of the key.")


class KeysGrantCommand(base.EntryCommand):
    """Grants a key."""

    name = "keys grant"
    description = "Grant a key to a workspace; a new one is shown once."
    arguments = [WORKSPACE, KEY_ID]
    parameters = [
        base.value_option("hash", "Hash of a key that exists already.")
    ]

    def answer(self, caller: client.Client) -> reports.Report:
        """Grants the key."""
        return keys.grant(
            caller,
            self.argument("workspace"),
            self.argument("key-id"),
            self.option("hash") or "",
        )


class KeysWithdrawCommand(base.EntryCommand):
    """Withdraws a key."""

    name = "keys withdraw"
    description = "Withdraw a key; it stops working within seconds."
    arguments = [WORKSPACE, KEY_ID]

    def answer(self, caller: client.Client) -> reports.Report:
        """Withdraws the key."""
        return keys.withdraw(
            caller, self.argument("workspace"), self.argument("key-id")
        )


class AuditCommand(base.EntryCommand):
    """Shows the audit trail."""

    name = "audit"
    description = "Show who changed a list, when, what and the revisions."
    arguments = [LIST]
    parameters = [
        base.value_option("after", "Cursor that the last page ended with."),
        base.value_option("limit", "Number of changes; 20 if left out."),
    ]

    def answer(self, caller: client.Client) -> reports.Report:
        """Reads the trail."""
        return audit.audit(
            caller,
            self.argument("list"),
            self.option("after") or "",
            self.number("limit") or 20,
        )
