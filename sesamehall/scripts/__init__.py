"""Thin entry points of the installed programs."""
