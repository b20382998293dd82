"""Soak test of the real programs with random faults, on one machine."""
