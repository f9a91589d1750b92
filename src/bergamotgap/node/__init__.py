"""The entry host process: its stateful components and their background tasks."""
