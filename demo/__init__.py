"""End-to-end demo of entries and stewards on stand-ins."""
