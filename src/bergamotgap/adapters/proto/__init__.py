"""Generated messages between entry hosts."""
