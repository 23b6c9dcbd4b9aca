"""The line-based settings file, documented in docs/settings.md.

Each subsystem declares its sections as data next to its code; the reader, the validation and the tables in
the documentation are derived from these declarations.
"""
