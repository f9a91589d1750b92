"""Tests of processes beside clients that don't keep the protocol's limits."""
