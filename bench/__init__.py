"""Measurements; each command ends in one NAME=value line."""
