"""The fault matrix: faults at every step, and the promises checked."""
