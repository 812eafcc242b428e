"""Slots, outlier detection, the floor and slow start of targets."""
