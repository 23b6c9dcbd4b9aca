"""The wires that clients and route nodes speak."""
