"""The docs: their commands run as written, their references are whole."""

import os
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

from hickoryreach_cli import application
from hickoryreach_entry.config import settings as entry_settings
from standins import cell
from standins import samples
from tests import cells

DOCS = pathlib.Path(__file__).parents[2] / "docs"
PAGES = (
    "getting-started/index.md",
    "user-guide/keys-and-plans.md",
    "user-guide/metrics.md",
    "user-guide/reference-cli.md",
    "user-guide/runbooks.md",
    "user-guide/settings.md",
)
BLOCK = re.compile(r"^```sh\n(.*?)^```", re.MULTILINE | re.DOTALL)
EXIT = re.compile(r"^(?P<command>.*?)(?:\s+# exit (?P<code>\d+))?$")
PAGE_TIMEOUT_S = 60


def read_commands(page: str) -> list[tuple[str, int]]:
    """Returns each command of a page with its expected exit code."""
    text = (DOCS / page).read_text()
    lines = [
        line for block in BLOCK.findall(text) for line in block.split("\n")
    ]
    found = [EXIT.match(line) for line in lines if line]
    return [(row["command"], int(row["code"] or 0)) for row in found]


def build_script(commands: list[tuple[str, int]]) -> str:
    """Returns a script that stops at the first unexpected exit code."""
    return "\n".join(
        f"{command}\ncode=$?; if [ $code -ne {code} ]; then "
        f'echo "line {number} ended with $code" >&2; exit 1; fi'
        for number, (command, code) in enumerate(commands, start=1)
    )


class CommandsTest(unittest.TestCase):
    """Each page is one shell session on a sample cell."""

    @classmethod
    def setUpClass(cls):
        cls.cell = cells.start_cell(
            cell.Deployment(
                name="docs", service="registry", workers=4, entries=2
            ),
            cls.addClassCleanup,
        )

    def test_commands_end_as_written(self):
        for page in PAGES:
            with self.subTest(page):
                commands = read_commands(page)
                self.assertTrue(commands)
                self.run_script(build_script(commands))

    def run_script(self, script: str) -> None:
        binaries = os.path.dirname(sys.executable)
        with tempfile.TemporaryDirectory() as folder:
            done = subprocess.run(
                ["bash", "-c", script],
                cwd=folder,
                env={
                    **os.environ,
                    "PATH": f"{binaries}:{os.environ['PATH']}",
                    "HICKORYREACH_URL": self.cell.entries[0].url,
                    "HICKORYREACH_KEY": samples.caller_key("north"),
                    "OPERATOR_KEY": samples.OPERATOR_KEY,
                },
                capture_output=True,
                text=True,
                timeout=PAGE_TIMEOUT_S,
                check=False,
            )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)


class ReferenceTest(unittest.TestCase):
    """References name everything there is."""

    def test_command_line_reference_names_each_command_and_option(self):
        text = (DOCS / "user-guide/reference-cli.md").read_text()
        for command in application.COMMANDS:
            self.assertIn(f"{command.name}", text)
            for option in command().options:
                self.assertIn(f"`--{option.name}`", text)

    def test_settings_page_names_each_setting(self):
        text = (DOCS / "user-guide/settings.md").read_text()
        for name in entry_settings.Settings.model_fields:
            self.assertIn(f"`--{name.replace('_', '-')}`", text)


if __name__ == "__main__":
    unittest.main()
