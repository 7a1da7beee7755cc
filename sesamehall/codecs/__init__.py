"""Translations between the core types and their encodings."""
