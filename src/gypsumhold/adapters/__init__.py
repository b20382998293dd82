"""Clocks, codecs, servers and clients: all input and output."""
