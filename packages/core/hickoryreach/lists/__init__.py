"""The two lists that operators maintain: plans and allowances."""
