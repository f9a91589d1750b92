"""Stand-ins for the platforms and workers, for tests, benchmarks and the demo."""
