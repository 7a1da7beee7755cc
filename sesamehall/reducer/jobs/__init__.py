"""Jobs: callers' calls, the leader's term, placing, runs and their ends."""
