"""Interfaces that the node needs from the outside."""
