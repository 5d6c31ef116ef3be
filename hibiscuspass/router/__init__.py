"""The router process: caller API, dispatch and streams."""
