"""Heartbeats, standing and the states of hosts."""
