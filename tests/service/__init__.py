"""Tests of the service package."""
