"""Tests of the queue package."""
