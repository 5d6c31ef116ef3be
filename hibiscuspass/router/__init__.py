"""Router process: caller API, dispatch, streams and fleet runtimes."""
