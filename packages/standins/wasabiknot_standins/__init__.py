"""Stand-ins for the platform, backend servers and callers, for tests and demos."""
