"""Tests of the model package."""
