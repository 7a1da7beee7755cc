"""Protocol of the users' platform: all code that speaks it, and no other code.

No other package contains the platform's names.
"""
