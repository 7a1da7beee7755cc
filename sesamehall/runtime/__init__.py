"""Runtime of the daemons: performs effects and posts events."""
