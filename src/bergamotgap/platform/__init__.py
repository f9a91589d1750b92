"""Adapter for the users' platform: its names, formats and calls; no decision logic."""
