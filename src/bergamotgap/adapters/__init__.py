"""Implementations of the ports, and the HTTP and gRPC interfaces of a node."""
