"""The users' platform: everything that speaks its protocol, and only that.

Nothing outside this package knows the platform's names.
"""
