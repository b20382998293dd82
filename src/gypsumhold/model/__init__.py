"""Ids, states, messages, events and effects; imports nothing else here."""
