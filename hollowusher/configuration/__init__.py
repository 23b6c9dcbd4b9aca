"""Settings of a process, and the operator's configuration: data models, validation and changes."""
