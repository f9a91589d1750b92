"""Domain logic and data types. Modules in this package perform no I/O."""
