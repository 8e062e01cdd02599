"""Command line programs."""
