"""Stand-ins for the services that Sesamehall calls, for tests and demos."""
