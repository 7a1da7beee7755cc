"""A randomized soak of real managers under faults from outside them."""
