"""Declaration, validation and display of settings."""
