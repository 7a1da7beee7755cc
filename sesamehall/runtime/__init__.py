"""Threads, sockets and timers: carries out effects, feeds back events."""
