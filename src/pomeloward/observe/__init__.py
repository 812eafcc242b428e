"""Logs, metrics, the decision journal and burn rates."""
