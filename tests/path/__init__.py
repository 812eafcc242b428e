"""Tests of the whole path with separate processes."""
