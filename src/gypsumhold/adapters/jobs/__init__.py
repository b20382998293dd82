"""Adapters of the job subsystem: calls, encodings, metrics, decision log."""
