"""The router process: actors, request runners and HTTP interfaces."""
