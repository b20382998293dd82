"""Decisions without input or output: reducer, event handlers and policies."""
