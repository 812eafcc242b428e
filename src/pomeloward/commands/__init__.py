"""The installed programs."""
