"""Measures slopes and derives the cost of a host at the planned size."""
