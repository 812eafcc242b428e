"""Reader of the platform's configuration service and host list."""
