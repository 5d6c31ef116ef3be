"""Environment variables that the platform sets."""

# Path of the settings file.
SETTINGS_PATH = "HIBISCUSPASS_CONFIG"
