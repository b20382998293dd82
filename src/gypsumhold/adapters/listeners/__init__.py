"""Connections of HTTP listeners, bounded in bytes, time and number."""
