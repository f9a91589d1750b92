"""Decisions and data; nothing here performs input or output."""
