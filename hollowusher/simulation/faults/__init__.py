"""The faults of a simulated day, by concern: processes, power, disks, links, machines, orders, workers."""
