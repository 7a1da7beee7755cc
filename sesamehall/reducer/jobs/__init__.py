"""Jobs of the manager: calls, leadership, task placement, runs and results."""
