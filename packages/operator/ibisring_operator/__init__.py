"""The operators' command line and reports."""
