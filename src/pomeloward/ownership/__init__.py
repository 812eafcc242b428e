"""Leased ownership of partitions, granted by voters."""
