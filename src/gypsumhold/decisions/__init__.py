"""Reducer and policies: pure functions over the model."""
