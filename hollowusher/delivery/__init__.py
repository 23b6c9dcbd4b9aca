"""The workers' side of an edge process: pushed deliveries, pull calls, call-backs."""
