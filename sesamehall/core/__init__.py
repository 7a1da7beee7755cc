"""Plain immutable types: what the decisions read and what they produce."""
