"""A router fleet for prepaid language-model token budgets."""

__version__ = "0.1.0"
