"""Scheduler for latency-critical and batch work on shared instances."""

VERSION = "0.1.0"
