"""Names, formats and calls of the platform that the routers run on."""
