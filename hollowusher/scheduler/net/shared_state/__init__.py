"""What schedulers share, behind the members' datagrams."""
