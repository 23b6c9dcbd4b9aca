"""The wires that depot terminals and route nodes speak."""
