"""Checks of manifests, which operators run before they publish one."""
