"""Ids, states, messages, events and effects; imports no other package here."""
