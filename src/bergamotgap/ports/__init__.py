"""Protocols for the outside services that a node uses, and the types they carry."""
