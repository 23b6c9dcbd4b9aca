"""The roles of a process (edge and store): each module creates, starts and stops the role's components."""
