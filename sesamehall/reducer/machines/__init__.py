"""Machines: moves between pools, and waves of maintenance."""
