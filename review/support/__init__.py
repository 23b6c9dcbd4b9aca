"""Stand-ins and helpers of the review's cases; only the standard library is used."""
