"""Tests of the job subsystem that need no network."""
