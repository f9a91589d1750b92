"""Code that talks to the outside through libraries."""
