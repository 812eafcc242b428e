"""The answer to which host addresses a caller should use."""
