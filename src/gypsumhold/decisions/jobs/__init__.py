"""Event handlers and policies of the job subsystem."""
