"""Ownership of pools: accept jobs, place their tasks, move and maintain hosts."""
