"""Composition roots of the programs."""
