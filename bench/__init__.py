"""Launchers for the demo, the fault matrix and the measurements."""
