"""Benchmarks: figures are ratios or counts against a baseline in the same run."""
