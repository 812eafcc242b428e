"""Settings of a host, read from TOML and checked."""
