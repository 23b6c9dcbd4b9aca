"""Messages between schedulers: UDP under the membership protocol."""
