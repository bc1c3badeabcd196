"""HTTP plumbing: listeners, routes, JSON calls and server-sent events."""
