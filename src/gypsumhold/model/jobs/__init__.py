"""Data types, events and effects of the job subsystem."""
