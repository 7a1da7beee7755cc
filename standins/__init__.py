"""Small stand-ins for the platform, an executor and a worker."""
