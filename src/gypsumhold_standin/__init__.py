"""Stand-ins for the platform, workers and upstreams, for tests and demos."""
