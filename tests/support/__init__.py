"""Clusters, disks, networks and stand-ins that tests share."""
