"""The programs."""
