"""The entry host process: owners of state and their tasks."""
