"""Translates between gypsumhold's own types and the users' platform.

This package makes no scheduling decisions. It is the only one that knows the
names of the platform's wire format; it decodes each document once, into the
types of `gypsumhold.model`.
"""
