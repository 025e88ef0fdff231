"""The commands, each over one function of hickoryreach_cli.commands."""
