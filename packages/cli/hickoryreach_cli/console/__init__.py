"""Commands, each a wrapper of one function of hickoryreach_cli.commands."""
