"""Stand-ins for the platform, a worker and an upstream, for tests and demos."""
