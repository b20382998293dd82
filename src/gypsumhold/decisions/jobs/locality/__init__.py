"""Decides how long a task waits for a place near its data or gang.

This is also known as delay scheduling.
"""
