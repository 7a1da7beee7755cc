"""Encoders and decoders for the core types."""
