"""Requests to targets: retries, hedging, deadlines and cancellation."""
