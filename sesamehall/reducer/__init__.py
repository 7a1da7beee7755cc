"""The one reducer over all events, and the pure parts under it."""
