"""Machines of the manager: moves between pools, and maintenance waves."""
