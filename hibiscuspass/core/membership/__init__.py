"""Membership: which routers and backend servers are live, leaving or gone."""
