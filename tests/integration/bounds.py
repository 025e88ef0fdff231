"""The bounds that the users state, each in one place."""

KEY_WITHDRAWN_S = 9.0
"""A withdrawn key stops working within this."""

CONFIGURATION_S = 9.0
"""An accepted list is in force everywhere within this."""

DEPARTING_S = 9.0
"""A departing minion receives nothing new after this."""

GENEROUS_S = 60.0
"""How long to wait for what has no stated bound; not a verdict."""
