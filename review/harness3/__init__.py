"""Stand-ins and clients of the third review's scripts."""
