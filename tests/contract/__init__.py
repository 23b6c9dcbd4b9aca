"""What must not change while the code is rewritten: the wire, stored data, and the operators' interfaces."""
