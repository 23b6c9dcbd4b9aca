"""The settings file: line-based, in the manner of classic daemons.  docs/settings.md is its page.

A subsystem declares its sections as data beside its code; the reader, the checks and the page are made of it.
"""
