"""Runs the state machine of the reducer."""

from tests.core.fuzz import machine
from tests.core.fuzz import settings

MachineTest = machine.Machine.TestCase
MachineTest.settings = settings.ci
