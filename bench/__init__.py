"""Benchmarks: every figure is a ratio or a count against a baseline in one run."""
