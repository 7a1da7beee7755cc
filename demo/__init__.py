"""The main job on embedded stand-ins."""
