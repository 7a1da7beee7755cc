"""What the scripts of the second review share: a small deployment."""
