"""Stand-ins for the platform and for workers, used by tests and the demo."""
